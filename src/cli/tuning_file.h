// Reads the operators' settings file (S-expressions such as `(parts 3)`). Every
// setting is optional; docs/operations.md lists them.
#ifndef PITCHFALL_CLI_TUNING_FILE_H_
#define PITCHFALL_CLI_TUNING_FILE_H_

#include <string>

#include "core/model/settings.h"

namespace pitchfall::cli {

// Both throw SettingsError. `file` is the path of the file; ParseTuning uses it
// only in error messages.
Tuning LoadTuning(const std::string& file);
Tuning ParseTuning(const std::string& text, const std::string& file);

}  // namespace pitchfall::cli

#endif  // PITCHFALL_CLI_TUNING_FILE_H_
