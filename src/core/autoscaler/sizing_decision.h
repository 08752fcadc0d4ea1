// What the autoscaler decided last.
#ifndef PITCHFALL_CORE_AUTOSCALER_SIZING_DECISION_H_
#define PITCHFALL_CORE_AUTOSCALER_SIZING_DECISION_H_

#include <cstdint>
#include <string_view>

namespace pitchfall {

// Why the number of machines was changed last.
enum class ScalingReason : uint8_t {
  kStart,     // not yet, by this leader
  kOrdinary,  // more for jobs that must not run on spot instances
  kTarget,    // more because there were fewer than the target
  kUnserved,  // more for a job that no machine can run
  kSurplus,   // fewer because there were more than the target
  kKeep,      // machines that were to go stay
};

// The name of the reason in the stored sizing record and in the log.
constexpr std::string_view ToString(ScalingReason reason) {
  switch (reason) {
    case ScalingReason::kStart:
      return "start";
    case ScalingReason::kOrdinary:
      return "ordinary";
    case ScalingReason::kTarget:
      return "target";
    case ScalingReason::kUnserved:
      return "unserved";
    case ScalingReason::kSurplus:
      return "surplus";
    case ScalingReason::kKeep:
      return "keep";
  }
  return "";
}

// Numbers of machines, and why they changed last.
struct SizingDecision {
  int target = 0;
  int count = 0;  // without those that are draining or requested
  ScalingReason reason = ScalingReason::kStart;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_AUTOSCALER_SIZING_DECISION_H_
