// The operators' own settings (S-expressions). Every setting is optional;
// docs/operations.md lists them.
#ifndef PITCHFALL_CLI_TUNING_FILE_H_
#define PITCHFALL_CLI_TUNING_FILE_H_

#include <string>

#include "core/model/settings.h"

namespace pitchfall::cli {

// Both throw SettingsError.
Tuning LoadTuning(const std::string& file);
Tuning ParseTuning(const std::string& text, const std::string& file);

}  // namespace pitchfall::cli

#endif  // PITCHFALL_CLI_TUNING_FILE_H_
