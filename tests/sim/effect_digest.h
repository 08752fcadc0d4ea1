// A hash over all effects of the controllers of a simulation, in order and with
// their simulated times. Two versions of the code that behave alike have the
// same digests; log lines are left out.
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

  // Adds an output of the controller with this index, as the bytes that would
  // leave its process. Throws std::logic_error for effects that have to come
  // encoded.
  void Add(SteadyTime now, size_t controller, const ControllerOutput& output);

  // The hash of all that was added so far.
  uint64_t value() const;

 private:
  void AddNumber(int64_t number);
  // Adds the length too, so that the borders between texts count.
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
