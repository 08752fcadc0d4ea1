// Deletions that reads of the state service do not show yet.
#ifndef PITCHFALL_CORE_STATE_TOMBSTONES_H_
#define PITCHFALL_CORE_STATE_TOMBSTONES_H_

#include <cstdint>
#include <map>
#include <string>

namespace pitchfall {

// Remembers deletions ahead of the revision up to which everything has been
// read: a read that is still under way may bring an older value of such a key,
// which must not restore it.
class Tombstones {
 public:
  // Notes that the key was deleted at this revision.
  void Add(const std::string& key, uint64_t mod_revision) {
    deleted_at_[key] = mod_revision;
  }

  // Whether the key was deleted at this revision or later.
  bool Covers(const std::string& key, uint64_t mod_revision) const {
    auto tombstone = deleted_at_.find(key);
    return tombstone != deleted_at_.end() && tombstone->second >= mod_revision;
  }

  // Forgets deletions up to this revision: no read shows anything older.
  void RemoveUpTo(uint64_t revision) {
    std::erase_if(deleted_at_, [revision](const auto& tombstone) {
      return tombstone.second <= revision;
    });
  }

 private:
  std::map<std::string, uint64_t> deleted_at_;  // revisions by key
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_TOMBSTONES_H_
