// Says that something has changed that the scheduler should look at.
#ifndef PITCHFALL_CORE_PARTITION_RESCHEDULE_SIGNAL_H_
#define PITCHFALL_CORE_PARTITION_RESCHEDULE_SIGNAL_H_

namespace pitchfall {

// Raised by whoever changes what the scheduler decides from; cleared by the
// partition when it schedules. Raised at first.
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
