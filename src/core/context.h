// What the parts of the core share within one controller.
#ifndef PITCHFALL_CORE_CONTEXT_H_
#define PITCHFALL_CORE_CONTEXT_H_

#include <cstdint>
#include <string>

#include "core/budget.h"
#include "core/follower.h"
#include "core/mirror.h"
#include "core/outbox.h"
#include "core/room.h"
#include "core/settings.h"

namespace pitchfall {

struct Context {
  const Deployment& deployment;
  const Tuning& tuning;
  Outbox& out;
  Mirror& mirror;
  Follower& follower;
  TokenBucket& requests;  // to the state service
  TokenBucket& writes;    // puts and deletes there
  TokenBucket& cloud;     // calls to the cloud
  std::string life;       // names this process among all that ever ran
  uint32_t parts;         // how many there are
  RoomBook room;

  SteadyTime now() const { return out.now().steady; }
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_CONTEXT_H_
