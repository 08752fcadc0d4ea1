// A hash over everything that the controllers of a simulation ask for, in
// order and with its simulated time. Two versions of the code that behave alike
// have the same digests; texts of log lines are left out.
#ifndef PITCHFALL_TESTS_SIM_EFFECT_DIGEST_H_
#define PITCHFALL_TESTS_SIM_EFFECT_DIGEST_H_

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "sim/simulated_controller.h"

namespace pitchfall::sim {

class EffectDigest {
 public:
  EffectDigest();

  // Adds what the controller with this index asked for, as the bytes that would
  // leave its process.
  void Add(SteadyTime now, size_t controller, const ControllerOutput& output);

  uint64_t value() const;

 private:
  void AddNumber(int64_t number);
  // With its length, so that neighbouring texts cannot be confused.
  void AddText(std::string_view text);
  void AddHttp(const wire::HttpRequest& http);
  void AddEffect(const Effect& effect);

  struct FreeState {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
  };
  std::unique_ptr<XXH3_state_t, FreeState> state_;
};

}  // namespace pitchfall::sim

#endif  // PITCHFALL_TESTS_SIM_EFFECT_DIGEST_H_
