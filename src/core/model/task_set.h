// Sets of task numbers within one job.
#ifndef PITCHFALL_CORE_MODEL_TASK_SET_H_
#define PITCHFALL_CORE_MODEL_TASK_SET_H_

#include <boost/icl/interval_set.hpp>
#include <cstdint>

namespace pitchfall {

// Task numbers, stored as ranges because tasks mostly end in blocks of
// consecutive numbers.
using TaskSet = boost::icl::interval_set<uint32_t>;

inline void AddTask(TaskSet& set, uint32_t task) {
  set += TaskSet::interval_type::right_open(task, task + 1);
}

inline bool HasTask(const TaskSet& set, uint32_t task) {
  return boost::icl::contains(set, task);
}

inline uint32_t CountTasks(const TaskSet& set) {
  return static_cast<uint32_t>(boost::icl::cardinality(set));
}

}  // namespace pitchfall

#endif  // PITCHFALL_CORE_MODEL_TASK_SET_H_
