// Disables callbacks that arrive after the object they refer to was destroyed.
#ifndef PITCHFALL_CORE_BASE_LIFETIME_GUARD_H_
#define PITCHFALL_CORE_BASE_LIFETIME_GUARD_H_

#include <memory>
#include <utility>

namespace pitchfall {

// A member of the object that callbacks refer to. A reply to a call may arrive
// after the object has been destroyed, for instance because its partition was
// handed over, and its callback would write to freed memory. A wrapped callback
// does nothing in that case. The class is not thread-safe.
class LifetimeGuard {
 public:
  LifetimeGuard() = default;
  LifetimeGuard(const LifetimeGuard&) = delete;
  LifetimeGuard& operator=(const LifetimeGuard&) = delete;

  // Returns a callable that forwards its arguments to `callback` while this
  // guard exists, and does nothing afterwards.
  template <typename Callback>
  auto Wrap(Callback callback) const {
    return [callback = std::move(callback),
            alive = std::weak_ptr<const int>(alive_)](auto&&... args) mutable {
      if (alive.expired()) return;
      callback(std::forward<decltype(args)>(args)...);
    };
  }

 private:
  // Wrapped callbacks hold weak pointers to this; its value has no meaning.
  std::shared_ptr<const int> alive_ = std::make_shared<const int>(0);
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_BASE_LIFETIME_GUARD_H_
