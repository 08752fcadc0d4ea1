// The settings file that the platform hands over (TOML).
#ifndef PITCHFALL_CLI_DEPLOYMENT_FILE_H_
#define PITCHFALL_CLI_DEPLOYMENT_FILE_H_

#include <stdexcept>
#include <string>

#include "core/model/settings.h"

namespace pitchfall::cli {

// One line for a person: the file, the key or line, and what is wrong with it.
class SettingsError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

Deployment LoadDeployment(const std::string& file);
Deployment ParseDeployment(const std::string& text, const std::string& file);

}  // namespace pitchfall::cli

#endif  // PITCHFALL_CLI_DEPLOYMENT_FILE_H_
