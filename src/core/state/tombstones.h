// Deletions that are newer than the last read of the state service.
#ifndef PITCHFALL_CORE_STATE_TOMBSTONES_H_
#define PITCHFALL_CORE_STATE_TOMBSTONES_H_

#include <cstdint>
#include <map>
#include <string>

namespace pitchfall {

// Records deletions that are newer than the revision up to which everything has
// been read. A read that is still under way may return an older value of a
// deleted key, which must not restore the key.
class Tombstones {
 public:
  // Records that the key was deleted at this revision.
  void Add(const std::string& key, uint64_t mod_revision) {
    deleted_at_[key] = mod_revision;
  }

  // Returns whether the key was deleted at this revision or later.
  bool Covers(const std::string& key, uint64_t mod_revision) const {
    auto tombstone = deleted_at_.find(key);
    return tombstone != deleted_at_.end() && tombstone->second >= mod_revision;
  }

  // Removes the tombstones of deletions up to this revision. Precondition: no
  // older change will be applied any more.
  void RemoveUpTo(uint64_t revision) {
    std::erase_if(deleted_at_, [revision](const auto& tombstone) {
      return tombstone.second <= revision;
    });
  }

 private:
  std::map<std::string, uint64_t> deleted_at_;  // revision of deletion, by key
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_TOMBSTONES_H_
