// Rendezvous hashing (highest random weight): every controller computes the
// same assignment of machines to partitions, and of partitions whose configured
// controller is not alive to other controllers. The arrival or departure of one
// machine or controller changes no assignment that does not involve it.
#ifndef PITCHFALL_CORE_BASE_RENDEZVOUS_HASH_H_
#define PITCHFALL_CORE_BASE_RENDEZVOUS_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace pitchfall {

// Returns the FNV-1a hash of the text, with `seed` mixed into the initial state
// and a final mixing step, so that names that differ only in their last digit
// get very different values. The stored layout depends on these values: they
// must not change.
inline uint64_t StableHash(std::string_view text, uint64_t seed) {
  uint64_t hash = 14695981039346656037ull ^ seed;
  for (unsigned char c : text) {
    hash ^= c;
    hash *= 1099511628211ull;
  }
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdull;
  hash ^= hash >> 33;
  hash *= 0xc4ceb9fe1a85ec53ull;
  hash ^= hash >> 33;
  return hash;
}

// Returns the partition of the machine with this name, in
// [0, partition_count): the one with the highest hash. Returns 0 if
// `partition_count` is 0.
inline uint32_t PartitionOf(std::string_view machine,
                            uint32_t partition_count) {
  uint32_t best = 0;
  uint64_t best_hash = 0;
  for (uint32_t partition = 0; partition < partition_count; ++partition) {
    uint64_t hash = StableHash(machine, partition + 1);
    if (partition == 0 || hash > best_hash) {
      best = partition;
      best_hash = hash;
    }
  }
  return best;
}

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_BASE_RENDEZVOUS_HASH_H_
