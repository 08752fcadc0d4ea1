// Stored records about the cloud: machine types, requests for instances, and
// machines that are to be scaled in.
#ifndef PITCHFALL_CORE_MODEL_INSTANCE_RECORDS_H_
#define PITCHFALL_CORE_MODEL_INSTANCE_RECORDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/base/resources.h"
#include "core/base/time.h"

namespace pitchfall {

// A machine type that the cloud offers.
struct MachineType {
  std::string name;
  Resources capacity;
  double cache_gb = 0;        // local space for images
  double fetch_gb_per_s = 0;  // rate at which images are fetched
  double price = 0;           // per hour
  double spot_price = 0;      // per hour; `price` if the cloud names none
  Duration boot{0};           // boot time, as the cloud announces it
  std::vector<std::string> zones;
  friend bool operator==(const MachineType&, const MachineType&) = default;
};

// The cloud's machine types. They are stored so that a restarted controller can
// accept or reject submissions while the cloud's API is unavailable.
struct TypesRecord {
  std::vector<MachineType> types;
  friend bool operator==(const TypesRecord&, const TypesRecord&) = default;
};

// A request to the cloud for new instances. It is stored before it is sent, so
// that the next leader knows of instances that the cloud may have created.
struct InstanceRequestRecord {
  std::string type;
  std::string zone;
  bool spot = false;
  uint32_t count = 0;
  WallTime asked;                     // when the request was stored
  std::vector<std::string> machines;  // created; empty until the cloud answers
  friend bool operator==(const InstanceRequestRecord&,
                         const InstanceRequestRecord&) = default;
};

// The machines that the leader has chosen to scale in. The owners of their
// partitions drain and delete them.
struct DrainRecord {
  std::vector<std::string> machines;
  friend bool operator==(const DrainRecord&, const DrainRecord&) = default;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_INSTANCE_RECORDS_H_
