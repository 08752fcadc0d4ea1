// Which tasks of a machine to stop so that a more important one can start
// there.
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

struct Displacement {
  Machine* machine = nullptr;
  std::vector<TaskKey> tasks;  // none: stopping tasks make enough room
  double lost_s = 0;           // processor seconds of work that is lost
};

// What the machine will have free once the tasks told to stop are gone.
Resources ExpectedCapacity(const Machine& machine);

// Tasks of lower priority whose end makes capacity for one task of the job,
// beside `expected_capacity`, those that lose the least work first. None if
// they do not suffice.
std::optional<Displacement> FindDisplacement(const JobSpec& spec,
                                             Machine& machine,
                                             const Resources& expected_capacity,
                                             SteadyTime now);

// Makes capacity for the replicas that one plan finds no machine for, or none
// with their image. Remembers what the plan has already promised to others.
class Displacer {
 public:
  explicit Displacer(Outbox& out) : out_(out) {}

  void BeginPlan(SteadyTime now);
  // Tells tasks of lower priority to stop so that as many as `replicas` more
  // tasks of the job can start in one of the next plans.
  void DisplaceFor(const JobSpec& spec, const ZoneUse& use,
                   const std::vector<Machine*>& machines, int64_t replicas);
  // The same for one replica, on a machine that has the image. False, and
  // nothing is stopped, if too much work would be lost for it.
  bool DisplaceOnMachineWithImage(const JobSpec& spec, const ZoneUse& use,
                                  const std::vector<Machine*>& machines);

 private:
  // The one that loses the least work.
  std::optional<Displacement> FindCheapest(
      const JobSpec& spec, const ZoneUse& use,
      const std::vector<Machine*>& machines, bool with_image);
  // Tells the tasks to stop, and keeps what gets free for the job.
  void Stop(const Displacement& displacement, const JobSpec& spec);

  Outbox& out_;
  SteadyTime now_{};
  // What will be free on machines, less what is meant for replicas.
  std::map<Machine*, Resources> expected_capacity_;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_SCHEDULING_DISPLACEMENT_H_
