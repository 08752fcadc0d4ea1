// The leader's work: how many machines there should be, requesting instances,
// choosing which machines to give up. The owner of partition 0 leads.
#ifndef PITCHFALL_CORE_AUTOSCALER_AUTOSCALER_H_
#define PITCHFALL_CORE_AUTOSCALER_AUTOSCALER_H_

#include <cstdint>

#include "core/autoscaler/instance_inventory.h"
#include "core/autoscaler/instance_requests.h"
#include "core/autoscaler/leader_state_writer.h"
#include "core/autoscaler/machine_type_catalog.h"
#include "core/autoscaler/machine_use.h"
#include "core/autoscaler/scale_in.h"
#include "core/autoscaler/scale_out.h"
#include "core/autoscaler/sizing_decision.h"
#include "core/autoscaler/sizing_history.h"
#include "core/scheduling/demand.h"
#include "core/state/context.h"

namespace pitchfall {

// Puts the parts of the autoscaler together and says in which order they act.
// It exists while its controller owns partition 0.
class Autoscaler {
 public:
  // `fencing_token` is that of partition 0.
  Autoscaler(Context& context, uint64_t fencing_token);

  // Does whatever is due. Nothing while the state cache is out of date: what
  // others have stored meanwhile could be undone or done twice.
  void Step();

 private:
  // Compares the number of machines with the target and takes at most one step
  // that changes it.
  void AdjustSize();
  Demand MeasureTotalDemand() const;
  double PlanMove(const Demand& demand, const MachineUseTable& use);
  void ScaleOutToTarget(int missing, const Demand& demand);
  void ScaleInBy(double move, int spare_ordinary, const MachineUseTable& use);
  int CountPending() const;
  int CountOrdinary() const;

  Context& context_;
  LeaderStateWriter state_writer_;
  MachineTypeCatalog machine_types_;
  InstanceInventory inventory_;
  InstanceRequests requests_;
  ScaleOut scale_out_;
  ScaleIn scale_in_;
  SizingHistory sizing_history_;
  SizingDecision decision_;
  SteadyTime next_adjust_{};
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_AUTOSCALER_AUTOSCALER_H_
