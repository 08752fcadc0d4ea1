// The autoscaler's last decision on the number of machines.
#ifndef PITCHFALL_CORE_AUTOSCALER_SIZING_DECISION_H_
#define PITCHFALL_CORE_AUTOSCALER_SIZING_DECISION_H_

#include <cstdint>
#include <string_view>

namespace pitchfall {

// Why the number of machines was changed last.
enum class ScalingReason : uint8_t {
  kStart,     // this leader has changed nothing yet
  kOnDemand,  // scaled out for jobs that must not run on spot instances
  kTarget,    // scaled out because there were fewer machines than the target
  kUnserved,  // scaled out for a waiting job that no machine had capacity for
  kSurplus,   // scaled in because there were more machines than the target
  kUncordon,  // uncordoned machines because there were fewer than the target
};

// Returns the name of the reason in the stored sizing record and in the log.
constexpr std::string_view ToString(ScalingReason reason) {
  switch (reason) {
    case ScalingReason::kStart:
      return "start";
    case ScalingReason::kOnDemand:
      return "ordinary";
    case ScalingReason::kTarget:
      return "target";
    case ScalingReason::kUnserved:
      return "unserved";
    case ScalingReason::kSurplus:
      return "surplus";
    case ScalingReason::kUncordon:
      return "keep";
  }
  return "";
}

// The target and present number of machines, and the reason of the last change.
struct SizingDecision {
  int target = 0;
  // Present instances that are neither draining nor broken. Instances that are
  // only requested do not count.
  int count = 0;
  ScalingReason reason = ScalingReason::kStart;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_AUTOSCALER_SIZING_DECISION_H_
