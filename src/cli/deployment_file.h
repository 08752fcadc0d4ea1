// Reads the deployment file: the settings that the platform provides (TOML).
#ifndef PITCHFALL_CLI_DEPLOYMENT_FILE_H_
#define PITCHFALL_CLI_DEPLOYMENT_FILE_H_

#include <stdexcept>
#include <string>

#include "core/model/settings.h"

namespace pitchfall::cli {

// A settings file cannot be read or is invalid. The text is one line for the
// operator: the file, the key or line, and what is wrong with it.
class SettingsError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Both throw SettingsError. `file` is the path of the file; ParseDeployment
// uses it only in error messages.
Deployment LoadDeployment(const std::string& file);
Deployment ParseDeployment(const std::string& text, const std::string& file);

}  // namespace pitchfall::cli

#endif  // PITCHFALL_CLI_DEPLOYMENT_FILE_H_
