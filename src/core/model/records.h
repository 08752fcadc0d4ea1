// The records that pitchfall keeps in the state service. They are the
// authoritative state: everything else that a process holds is a cache of them
// or can be obtained again.
//
// src/wire/records.h converts the records to and from their stored form.
#ifndef PITCHFALL_CORE_MODEL_RECORDS_H_
#define PITCHFALL_CORE_MODEL_RECORDS_H_

#include <variant>

#include "core/model/capacity_records.h"
#include "core/model/chunk_record.h"
#include "core/model/instance_records.h"
#include "core/model/job_record.h"
#include "core/model/membership_records.h"
#include "core/model/snapshot_records.h"
#include "core/model/state_keys.h"
#include "core/model/task_set.h"

namespace pitchfall {

// A record of any kind, which is the value of a key.
using Record =
    std::variant<JobRecord, SegmentRecord, NodeRecord, PartitionRecord,
                 InstanceRequestRecord, TypesRecord, TeamRecord, DrainRecord,
                 LoadRecord, SizingRecord, OpenJobsSnapshot, OpenJobsPage>;

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_RECORDS_H_
