// Keys in the state service. All keys have a common prefix, so that a single
// watch returns all changes in order.
#ifndef PITCHFALL_CORE_MODEL_STATE_KEYS_H_
#define PITCHFALL_CORE_MODEL_STATE_KEYS_H_

#include <cstddef>
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
// Pages of the snapshot of the open jobs. No other prefix comes later in the
// order of keys, so a list can end before them.
inline constexpr char kOpenJobsPages[] = "pf/unfinished/";
// In the order of keys, comes after all keys of jobs. Only the drain record and
// the write fences come before the jobs.
inline constexpr char kJobsEnd[] = "pf/jobs0";
// Complete keys, with one record each.
inline constexpr char kTypes[] = "pf/types";
inline constexpr char kDrain[] = "pf/drain";
inline constexpr char kSizing[] = "pf/sizing";
inline constexpr char kOpenJobsSnapshot[] = "pf/unfinished";

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

// The pages of one of the two sets.
inline std::string OpenJobsSet(uint32_t set) {
  return kOpenJobsPages + std::to_string(set) + "/";
}

// A page of the set. In the order of keys, pages are in the order of their
// numbers.
inline std::string OpenJobsPage(uint32_t set, uint32_t page) {
  constexpr size_t kDigits = 6;
  std::string number = std::to_string(page);
  return OpenJobsSet(set) + std::string(kDigits - number.size(), '0') + number;
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
