// The pitchfall command.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>

#include "cli/deployment_file.h"
#include "cli/tuning_file.h"
#include "io/runtime.h"

namespace {

constexpr char kVersion[] = "pitchfall 0.1.0";

// Logs to standard error, from the level that LOG_LEVEL names; an unknown level
// counts as "info".
void SetUpLogging() {
  auto logger = spdlog::stderr_logger_st("pitchfall");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v",
                      spdlog::pattern_time_type::utc);
  spdlog::set_default_logger(logger);
  const char* wanted = std::getenv("LOG_LEVEL");
  std::string level = wanted == nullptr ? "info" : wanted;
  if (level == "error") {
    spdlog::set_level(spdlog::level::err);
  } else if (level == "debug") {
    spdlog::set_level(spdlog::level::debug);
  } else {
    spdlog::set_level(spdlog::level::info);
    if (level != "info") {
      spdlog::warn("event=log_level_unknown value={} used=info", level);
    }
  }
}

// Reads the command line and runs a controller; returns the exit status. Errors
// of the settings or the sockets are thrown.
int Run(int argc, char** argv) {
  CLI::App app{
      "pitchfall: a cluster scheduler. Runs one controller until it is "
      "killed."};
  std::string config;
  std::string settings;
  bool check = false;
  app.add_option("--config", config,
                 "deployment file provided by the platform (TOML)")
      ->required();
  app.add_option("--settings", settings,
                 "settings file of the operators (S-expressions)");
  app.add_flag("--check", check, "validate the settings files and exit");
  app.set_version_flag("--version", kVersion);
  CLI11_PARSE(app, argc, argv);

  pitchfall::Deployment deployment = pitchfall::cli::LoadDeployment(config);
  pitchfall::Tuning tuning;
  if (!settings.empty()) tuning = pitchfall::cli::LoadTuning(settings);
  if (check) {
    std::cout << "settings are valid\n";
    return EXIT_SUCCESS;
  }
  SetUpLogging();
  // A connection that the other side closes during a write must not end the
  // process; the write reports the error.
  std::signal(SIGPIPE, SIG_IGN);
  pitchfall::io::Runtime runtime(deployment, tuning);
  runtime.Run();
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "pitchfall: %s\n", problem.what());
    return EXIT_FAILURE;
  }
}
