// Records with their modification revisions, and functions that apply changes
// read from the state service to them.
#ifndef PITCHFALL_CORE_STATE_VERSIONED_H_
#define PITCHFALL_CORE_STATE_VERSIONED_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "core/model/messages.h"

namespace pitchfall {

// A record with the modification revision of its key. Transactions use the
// revision as a compare-and-swap condition.
template <typename T>
struct Versioned {
  T value;
  uint64_t mod_revision = 0;
};

// Records of one type by name, which is the key without the type's prefix.
template <typename T>
using VersionedTable = std::map<std::string, Versioned<T>>;

// Returns the change's record, or null if the change is a deletion or holds a
// record of another type.
template <typename T>
const T* RecordOf(const Change& change) {
  return change.value ? std::get_if<T>(&*change.value) : nullptr;
}

// Applies the change to the record `name`. A deletion or a record of another
// type removes the present record. A change that is not newer than the present
// record is ignored, because replies of the state service can arrive out of
// order.
template <typename T>
void ApplyChange(VersionedTable<T>& table, const std::string& name,
                 const Change& change) {
  auto current = table.find(name);
  if (current != table.end() &&
      current->second.mod_revision >= change.mod_revision) {
    return;
  }
  const T* record = RecordOf<T>(change);
  if (record != nullptr) {
    table.insert_or_assign(name, Versioned<T>{*record, change.mod_revision});
  } else if (current != table.end()) {
    table.erase(current);
  }
}

// Applies the change, by the same rules, to a record that exists only once.
template <typename T>
void ApplyChange(std::optional<Versioned<T>>& current, const Change& change) {
  if (current && current->mod_revision >= change.mod_revision) return;
  const T* record = RecordOf<T>(change);
  current.reset();
  if (record != nullptr) current = Versioned<T>{*record, change.mod_revision};
}

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_STATE_VERSIONED_H_
