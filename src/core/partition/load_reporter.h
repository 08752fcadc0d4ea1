// Reports the partition's resource demand to the autoscaler once per sizing
// period.
#ifndef PITCHFALL_CORE_PARTITION_LOAD_REPORTER_H_
#define PITCHFALL_CORE_PARTITION_LOAD_REPORTER_H_

#include <cstdint>

#include "core/partition/failure_tracker.h"
#include "core/partition/machine_registry.h"
#include "core/partition/ownership_term.h"
#include "core/partition/pending_transaction.h"
#include "core/state/context.h"

namespace pitchfall {

// The report is a load record that is stored with the partition's next
// transaction.
class LoadReporter {
 public:
  LoadReporter(Context& context, const OwnershipTerm& term,
               const MachineRegistry& machines, const FailureTracker& failures)
      : context_(context),
        term_(term),
        machines_(machines),
        failures_(failures) {}

  // Adds the load record of the current sizing period to `pending`. Does
  // nothing if that record has been stored already or the transaction has no
  // room for another put.
  void AddLoad(PendingTransaction& pending) const;
  // Must be called once a transaction has been stored. Counts its starts, and
  // resets the counters first if it held a load record.
  void OnStored(const PendingTransaction& pending);

 private:
  // Logs how the partition's processors are used.
  void LogLoad(const LoadRecord& load) const;

  Context& context_;
  const OwnershipTerm& term_;
  const MachineRegistry& machines_;
  const FailureTracker& failures_;
  // The period of the last stored load record, counted from the epoch of the
  // wall clock; 0 before this owner's first.
  uint64_t reported_period_ = 0;
  // The tasks started since the last stored load record, and the sum of the
  // times that they had waited.
  uint32_t started_ = 0;
  Duration waited_{0};
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_LOAD_REPORTER_H_
