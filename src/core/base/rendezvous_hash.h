// Rendezvous hashing: every controller works out the same placement of machines
// in partitions and of orphaned partitions on controllers, and a change of one
// moves no other.
#ifndef PITCHFALL_CORE_BASE_RENDEZVOUS_HASH_H_
#define PITCHFALL_CORE_BASE_RENDEZVOUS_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace pitchfall {

// FNV-1a with a final mix, so that names that differ in their last digit land
// far apart. The value is part of the stored layout: it must not change.
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
