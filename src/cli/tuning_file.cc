#include "cli/tuning_file.h"

#include <fmt/format.h>
#include <sfsexp/sexp.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <memory>
#include <sstream>
#include <string_view>
#include <variant>
#include <vector>

#include "cli/deployment_file.h"

namespace pitchfall::cli {
namespace {

// A setting with its name in the file, the range of its number and the field of
// Tuning that it sets.
struct Setting {
  std::string_view name;
  double min;
  double max;
  std::variant<Duration Tuning::*, uint32_t Tuning::*, double Tuning::*> field;
};

// Durations are in seconds.
const Setting kSettings[] = {
    {"node-lease", 0.5, 60, &Tuning::node_lease},
    {"state-timeout", 0.1, 10, &Tuning::state_timeout},
    {"cloud-timeout", 0.5, 60, &Tuning::cloud_timeout},
    {"hold-report", 0, 3, &Tuning::heartbeat_hold},
    {"idle-before-return", 0, 3600, &Tuning::idle_before_return},
    {"max-machines", 0, 100000, &Tuning::max_machines},
    {"parts", 0, 64, &Tuning::partition_count},
    {"chunk-tasks", 1, 128, &Tuning::chunk_tasks},
    {"claim-delay", 0, 60, &Tuning::transfer_delay},
    {"handover-after", 1, 3600, &Tuning::handover_after},
    {"period", 1, 600, &Tuning::sizing_period},
    {"horizon", 1, 20, &Tuning::horizon},
    {"tracking-r", 0, 1000, &Tuning::move_weight},
    {"delay-price", 0, 1000, &Tuning::delay_price},
    {"delay-bound", 0.1, 3600, &Tuning::delay_bound},
};

struct FreeSexp {
  void operator()(sexp_t* s) const { destroy_sexp(s); }
};

void Apply(Tuning& tuning, const Setting& setting, double value) {
  std::visit(
      [&](auto field) {
        using Field = std::decay_t<decltype(tuning.*field)>;
        if constexpr (std::is_same_v<Field, Duration>) {
          tuning.*field = Seconds(value);
        } else {
          tuning.*field = static_cast<Field>(value);
        }
      },
      setting.field);
}

// A top-level expression. sfsexp does not report positions, so each expression
// is cut out of the file and parsed by itself.
struct Expression {
  std::string text;  // line breaks replaced by spaces
  int line = 1;      // where the expression starts
};

// Cuts the file into its top-level expressions and drops the comments.
std::vector<Expression> SplitExpressions(const std::string& text,
                                         const std::string& file) {
  std::vector<Expression> expressions;
  int line = 1;
  int depth = 0;
  bool comment = false;
  for (char c : text) {
    if (c == '\n') {
      ++line;
      comment = false;
    }
    if (c == ';') comment = true;
    if (comment) continue;
    if (c == '(') {
      if (depth++ == 0) expressions.push_back({"", line});
    }
    if (depth > 0) {
      expressions.back().text += c == '\n' ? ' ' : c;
    } else if (!std::isspace(static_cast<unsigned char>(c))) {
      throw SettingsError(fmt::format(
          "{}:{}: expected a setting in parentheses, such as (parts 3)", file,
          line));
    }
    if (c == ')') --depth;
  }
  if (depth > 0) {
    throw SettingsError(
        fmt::format("{}:{}: the parenthesis opened here is not closed", file,
                    expressions.back().line));
  }
  return expressions;
}

}  // namespace

Tuning ParseTuning(const std::string& text, const std::string& file) {
  Tuning tuning;
  for (Expression& expression : SplitExpressions(text, file)) {
    auto fail = [&](const std::string& what) {
      throw SettingsError(
          fmt::format("{}:{}: {}", file, expression.line, what));
    };
    std::unique_ptr<sexp_t, FreeSexp> sexp(
        parse_sexp(expression.text.data(), expression.text.size()));
    if (!sexp || sexp->ty != SEXP_LIST || sexp->list == nullptr ||
        sexp->list->ty != SEXP_VALUE) {
      fail("not a setting: expected (NAME NUMBER)");
    }
    std::string_view name = sexp->list->val;
    const Setting* setting =
        std::find_if(std::begin(kSettings), std::end(kSettings),
                     [&](const Setting& s) { return s.name == name; });
    if (setting == std::end(kSettings)) {
      fail(fmt::format("unknown setting '{}'", name));
    }
    const sexp_t* value = sexp->list->next;
    if (value == nullptr || value->ty != SEXP_VALUE || value->next != nullptr) {
      fail(fmt::format("{} takes one number", name));
    }
    double number = 0;
    std::string_view digits = value->val;
    auto parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (parsed.ec != std::errc() ||
        parsed.ptr != digits.data() + digits.size() || !std::isfinite(number)) {
      fail(fmt::format("{}: '{}' is not a number", name, digits));
    }
    if (number < setting->min || number > setting->max) {
      fail(fmt::format("{} must be from {} to {}", name, setting->min,
                       setting->max));
    }
    Apply(tuning, *setting, number);
  }
  return tuning;
}

Tuning LoadTuning(const std::string& file) {
  std::ifstream in(file);
  if (!in)
    throw SettingsError(fmt::format(
        "{}: cannot be opened: check that it exists and is readable", file));
  std::ostringstream text;
  text << in.rdbuf();
  return ParseTuning(text.str(), file);
}

}  // namespace pitchfall::cli
