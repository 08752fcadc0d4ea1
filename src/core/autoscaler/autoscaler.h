// The autoscaler: decides how many machines the cluster needs, requests
// instances from the cloud and selects machines for removal. It runs on the
// leader, which is the controller that owns partition 0.
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

// Owns the components of the autoscaler and runs them in order. An instance
// exists only while its controller owns partition 0.
class Autoscaler {
 public:
  // `fencing_token` is the current fencing token of partition 0.
  Autoscaler(Context& context, uint64_t fencing_token);

  // Does the work that is due: fetches the machine types, lists the instances,
  // reconciles stored requests and adjusts the number of machines. Does nothing
  // while the state cache is stale, because a decision from stale data could
  // undo or repeat a change that is already stored.
  void RunDueWork();

 private:
  // Compares the number of machines with the target and makes at most one
  // change towards it.
  void AdjustSize();
  Demand MeasureTotalDemand() const;
  double PlanMove(const Demand& demand, const MachineUseTable& use);
  void ScaleOutToTarget(int missing, const Demand& demand);
  void ScaleInBy(double move, int spare_on_demand, const MachineUseTable& use);
  int CountPending() const;
  int CountOnDemand() const;

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
