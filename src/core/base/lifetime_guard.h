// Lets a callback that arrives late find out that its object is gone.
#ifndef PITCHFALL_CORE_BASE_LIFETIME_GUARD_H_
#define PITCHFALL_CORE_BASE_LIFETIME_GUARD_H_

#include <memory>
#include <utility>

namespace pitchfall {

// A member of the object that callbacks refer to. Replies to calls may come
// after the object has been destroyed, for instance when a partition has been
// handed over, and would write to freed memory; a wrapped callback does nothing
// then. Not for use from several
// threads.
class LifetimeGuard {
 public:
  LifetimeGuard() = default;
  LifetimeGuard(const LifetimeGuard&) = delete;
  LifetimeGuard& operator=(const LifetimeGuard&) = delete;

  // Returns a callable that passes its arguments on to `callback` as long as
  // this guard exists.
  template <typename Callback>
  auto Wrap(Callback callback) const {
    return [callback = std::move(callback),
            alive = std::weak_ptr<const int>(alive_)](auto&&... args) mutable {
      if (alive.expired()) return;
      callback(std::forward<decltype(args)>(args)...);
    };
  }

 private:
  std::shared_ptr<const int> alive_ = std::make_shared<const int>(0);
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_BASE_LIFETIME_GUARD_H_
