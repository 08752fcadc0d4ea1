// Callbacks of outgoing calls that must not run once their owner is gone.
#ifndef PITCHFALL_CORE_AUTOSCALER_CALLBACK_GUARD_H_
#define PITCHFALL_CORE_AUTOSCALER_CALLBACK_GUARD_H_

#include <memory>
#include <utility>

namespace pitchfall {

// A member of a class whose callbacks capture `this`. A controller that loses
// partition 0 destroys its autoscaler while replies are still on their way;
// without the guard those would write to freed memory.
class CallbackGuard {
 public:
  CallbackGuard() = default;
  CallbackGuard(const CallbackGuard&) = delete;
  CallbackGuard& operator=(const CallbackGuard&) = delete;

  // Returns a callback that does the same as `callback` as long as this guard
  // exists, and nothing afterwards.
  template <typename Callback>
  auto Wrap(Callback callback) const {
    return [alive = std::weak_ptr<const Token>(token_),
            callback = std::move(callback)](const auto&... arguments) {
      if (!alive.expired()) callback(arguments...);
    };
  }

 private:
  struct Token {};
  std::shared_ptr<const Token> token_ = std::make_shared<const Token>();
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_AUTOSCALER_CALLBACK_GUARD_H_
