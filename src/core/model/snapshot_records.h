// The stored snapshot of the open jobs. A controller that starts reads it, and
// then the change log, instead of the records of all jobs that ever were.
#ifndef PITCHFALL_CORE_MODEL_SNAPSHOT_RECORDS_H_
#define PITCHFALL_CORE_MODEL_SNAPSHOT_RECORDS_H_

#include <cstdint>
#include <vector>

#include "core/model/job_record.h"

namespace pitchfall {

// Names the pages of the newest complete snapshot. There are two sets of pages:
// a snapshot is written to the set that this record does not name.
struct OpenJobsSnapshot {
  // The snapshot holds all jobs that were open at this revision: those that
  // were not final, or of which tasks were bound to machines.
  uint64_t revision = 0;
  uint32_t set = 0;         // 0 or 1
  uint32_t page_count = 0;  // numbered from 0
  friend bool operator==(const OpenJobsSnapshot&,
                         const OpenJobsSnapshot&) = default;
};

// A page of a snapshot.
struct OpenJobsPage {
  struct Entry {
    JobRecord record;
    uint64_t mod_revision = 0;  // of the job's own key
    friend bool operator==(const Entry&, const Entry&) = default;
  };
  uint64_t revision = 0;  // of the snapshot that the page belongs to
  std::vector<Entry> jobs;
  friend bool operator==(const OpenJobsPage&, const OpenJobsPage&) = default;
};

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_SNAPSHOT_RECORDS_H_
