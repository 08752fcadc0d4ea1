// Selects the tasks of a machine that should stop so that a task of higher
// priority can start there.
#ifndef PITCHFALL_CORE_SCHEDULING_DISPLACEMENT_H_
#define PITCHFALL_CORE_SCHEDULING_DISPLACEMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/base/resources.h"
#include "core/base/time.h"
#include "core/model/machine.h"
#include "core/model/outbox.h"
#include "core/scheduling/placement.h"

namespace pitchfall {

// A way to get capacity for one task on a machine.
struct Displacement {
  Machine* machine = nullptr;
  // The tasks to stop; empty: the capacity that is free or becomes free once
  // stopping tasks have ended is enough.
  std::vector<TaskKey> tasks;
  double lost_cpu_s = 0;  // processor seconds of work that is lost
};

// Returns the capacity that the machine will have free once the tasks told to
// stop have ended.
Resources ExpectedCapacity(const Machine& machine);

// Selects tasks of lower priority whose end, together with `expected_capacity`,
// makes capacity for one task of the job; those that lose the least work come
// first. Returns nothing if all of them do not suffice.
std::optional<Displacement> FindDisplacement(const JobSpec& spec,
                                             Machine& machine,
                                             const Resources& expected_capacity,
                                             SteadyTime now);

// Makes capacity for replicas of services for which one plan finds no machine,
// or no machine that has their image. Keeps track of the capacity that the plan
// has already promised to other replicas.
class Displacer {
 public:
  explicit Displacer(Outbox& outbox) : outbox_(outbox) {}

  // Forgets what the last plan has promised.
  void BeginPlan(SteadyTime now);
  // Selects tasks of lower priority to stop so that up to `replicas` more tasks
  // of the job can start in one of the next plans. `use` has the zones of the
  // job's present tasks.
  void DisplaceFor(const JobSpec& spec, const ZoneUse& use,
                   const std::vector<Machine*>& machines, int64_t replicas);
  // The same for one replica, on a machine that has the image. Returns false,
  // and stops nothing, if no machine allows it or if more work would be lost
  // than a start without fetching the image is worth.
  bool DisplaceOnMachineWithImage(const JobSpec& spec, const ZoneUse& use,
                                  const std::vector<Machine*>& machines);

 private:
  // Finds the displacement that loses the least work; with `with_image` only on
  // machines that have the job's image.
  std::optional<Displacement> FindCheapest(
      const JobSpec& spec, const ZoneUse& use,
      const std::vector<Machine*>& machines, bool with_image);
  // Marks the tasks as displaced, so that they are told to stop, and reserves
  // the capacity that becomes free for a task of the job.
  void MarkDisplaced(const Displacement& displacement, const JobSpec& spec);

  Outbox& outbox_;
  SteadyTime now_{};
  // The capacity that machines will have free, less what is promised to
  // replicas. A machine gets its entry when the plan first considers it.
  std::map<Machine*, Resources> expected_capacity_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_SCHEDULING_DISPLACEMENT_H_
