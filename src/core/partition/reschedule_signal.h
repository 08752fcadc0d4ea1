// A flag that requests the next scheduling pass of a partition.
#ifndef PITCHFALL_CORE_PARTITION_RESCHEDULE_SIGNAL_H_
#define PITCHFALL_CORE_PARTITION_RESCHEDULE_SIGNAL_H_

namespace pitchfall {

// Raised by every component that changes an input of the scheduler; cleared by
// the partition when it begins a scheduling pass. It is raised initially.
class RescheduleSignal {
 public:
  void Raise() { raised_ = true; }
  void Clear() { raised_ = false; }
  bool raised() const { return raised_; }

 private:
  bool raised_ = true;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_RESCHEDULE_SIGNAL_H_
