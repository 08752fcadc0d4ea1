// Keys in the state service. All keys have a common prefix, so that a single
// watch returns all changes in order.
#ifndef PITCHFALL_CORE_MODEL_STATE_KEYS_H_
#define PITCHFALL_CORE_MODEL_STATE_KEYS_H_

#include <cstdint>
#include <string>

namespace pitchfall::keys {

inline constexpr char kPrefix[] = "pf/";
// Prefixes of keys; the name of the record follows.
inline constexpr char kJobs[] = "pf/jobs/";
inline constexpr char kSegments[] = "pf/segments/";
inline constexpr char kNodes[] = "pf/nodes/";
inline constexpr char kPartitions[] = "pf/parts/";
inline constexpr char kInstanceRequests[] = "pf/rentals/";
inline constexpr char kTeams[] = "pf/teams/";
inline constexpr char kLoads[] = "pf/loads/";
inline constexpr char kWriteFences[] = "pf/fences/";
// Complete keys, with one record each.
inline constexpr char kTypes[] = "pf/types";
inline constexpr char kDrain[] = "pf/drain";
inline constexpr char kSizing[] = "pf/sizing";

inline std::string Job(const std::string& id) { return kJobs + id; }

// `slot` is the segment's index in the partition's ring of segments.
inline std::string Segment(uint32_t partition, uint32_t slot) {
  return kSegments + std::to_string(partition) + "/" + std::to_string(slot);
}

inline std::string Node(const std::string& label,
                        const std::string& incarnation) {
  return kNodes + label + "." + incarnation;
}

inline std::string Partition(uint32_t partition) {
  return kPartitions + std::to_string(partition);
}

// Every transaction of a partition's owner has a condition on this key. The key
// is changed after a write whose outcome is unknown, so that a delayed copy of
// that write fails.
inline std::string WriteFence(uint32_t partition, uint64_t fencing_token) {
  return kWriteFences + std::to_string(partition) + "." +
         std::to_string(fencing_token);
}

inline std::string Team(const std::string& name) { return kTeams + name; }

inline std::string Load(uint32_t partition) {
  return kLoads + std::to_string(partition);
}

inline std::string InstanceRequest(const std::string& name) {
  return kInstanceRequests + name;
}

}  // namespace pitchfall::keys

#endif  // PITCHFALL_CORE_MODEL_STATE_KEYS_H_
