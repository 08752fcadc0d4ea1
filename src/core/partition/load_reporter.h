// Stores what the partition's jobs ask for, once a period, for the autoscaler.
#ifndef PITCHFALL_CORE_PARTITION_LOAD_REPORTER_H_
#define PITCHFALL_CORE_PARTITION_LOAD_REPORTER_H_

#include <cstdint>

#include "core/partition/failure_tracker.h"
#include "core/partition/machine_registry.h"
#include "core/partition/ownership_term.h"
#include "core/partition/pending_transaction.h"
#include "core/state/context.h"

namespace pitchfall {

class LoadReporter {
 public:
  LoadReporter(Context& context, const OwnershipTerm& term,
               const MachineRegistry& machines, const FailureTracker& failures)
      : context_(context),
        term_(term),
        machines_(machines),
        failures_(failures) {}

  // Adds this period's load record unless it has been stored already or the
  // transaction takes no more puts.
  void AddLoad(PendingTransaction& pending) const;
  // The transaction has been stored: counts its starts, and begins a new period
  // if it held a load record.
  void OnStored(const PendingTransaction& pending);

 private:
  // How the partition's capacity is used.
  void LogLoad(const LoadRecord& load) const;

  Context& context_;
  const OwnershipTerm& term_;
  const MachineRegistry& machines_;
  const FailureTracker& failures_;
  uint64_t reported_period_ = 0;
  // Since the last load record.
  uint32_t started_ = 0;
  Duration waited_{0};
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_PARTITION_LOAD_REPORTER_H_
