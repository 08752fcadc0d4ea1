// What is stored about the cloud: machine types, requests for instances and
// machines to scale in.
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
  double cache_gb = 0;        // of local space
  double fetch_gb_per_s = 0;  // of images
  double price = 0;           // an hour
  double spot_price = 0;      // an hour
  Duration boot{0};           // as the cloud announces it
  std::vector<std::string> zones;
  friend bool operator==(const MachineType&, const MachineType&) = default;
};

// The cloud's machine types, so that a restarted controller can judge
// submissions while the cloud's interface is down.
struct TypesRecord {
  std::vector<MachineType> types;
  friend bool operator==(const TypesRecord&, const TypesRecord&) = default;
};

// A request to the cloud for new instances. It is stored before it is sent, so
// that a successor knows of instances that the cloud may have created.
struct InstanceRequestRecord {
  std::string type;
  std::string zone;
  bool spot = false;
  uint32_t count = 0;
  WallTime asked;                     // when it was stored
  std::vector<std::string> machines;  // once the cloud has answered
  friend bool operator==(const InstanceRequestRecord&,
                         const InstanceRequestRecord&) = default;
};

// Machines that the leader scales in: the owners of their partitions drain and
// delete them.
struct DrainRecord {
  std::vector<std::string> machines;
  friend bool operator==(const DrainRecord&, const DrainRecord&) = default;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_INSTANCE_RECORDS_H_
