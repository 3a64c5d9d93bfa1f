#include "command_line.h"

#include <CLI/CLI.hpp>
#include <charconv>
#include <memory>
#include <utility>

#include "trefoilmill/caller_query.h"

namespace trefoilmill {
namespace {

constexpr const char* kFooter = R"(
Exit status:
  0  done                        5  no daemon reached; nothing was changed
  1  refused (diff: they differ) 6  sent, but the outcome is unknown
  2  wrong usage                 7  not in force everywhere within --wait
  3  a file has errors           8  query --whole: the answer is not whole
  4  another change came first

Examples:
  trefoilmillctl validate examples/pemberton.jsonc
  trefoilmillctl --admin 127.0.0.1:8001 apply examples/pemberton.jsonc --wait
  trefoilmillctl status --watch
  trefoilmillctl zone out perth --wait
  trefoilmillctl query --service kiosk-counter-3 --body 'milk' --json
  trefoilmillctl timeline --request r-17 --format chrome --out r-17.json
  trefoilmillctl explain 08750318a8aec8e2 logs/front-*.jsonl

`trefoilmillctl COMMAND --help` has more on each.
)";

/// "IP:PORT"; nullopt for any other text.
std::optional<socket_address> ParseAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  socket_address address;
  address.ip = text.substr(0, colon);
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data() + colon + 1, end, address.port);
  if (read.ec != std::errc() || read.ptr != end || address.port == 0) {
    return std::nullopt;
  }
  return address;
}

/// Reads options as plain values, then makes a parsed_command of them.
class command_line {
 public:
  command_line() : app_("Steers and asks a trefoilmill query tier.") {
    app_.name("trefoilmillctl");
    app_.footer(kFooter);
    app_.require_subcommand(1);
    app_.fallthrough();
    AddCommon();
    AddFiles();
    AddConfig();
    AddOperations();
    AddCallers();
    AddTimeline();
    AddExplain();
    AddRollouts();
  }

  std::variant<parsed_command, exit_code> Parse(int argc,
                                                const char* const* argv) {
    try {
      app_.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
      return app_.exit(error) == 0 ? exit_code::kDone : exit_code::kUsage;
    }
    return parsed_command{.common = common_, .what = chosen_};
  }

 private:
  /// Adds a command whose options are `options`.
  template <class options>
  CLI::App* AddCommand(const std::string& name,
                       const std::string& about,
                       const std::string& footer,
                       const std::shared_ptr<options>& values,
                       CLI::App* parent = nullptr) {
    CLI::App* added =
        (parent == nullptr ? &app_ : parent)->add_subcommand(name, about);
    added->footer(footer);
    added->fallthrough();
    added->callback([this, values] { chosen_ = *values; });
    return added;
  }

  void AddAddresses(const std::string& name,
                    const std::string& variable,
                    const std::string& about,
                    std::vector<socket_address>& out) {
    app_.add_option_function<std::vector<std::string>>(
            name,
            [&out, name](const std::vector<std::string>& texts) {
              out.clear();
              for (const std::string& text : texts) {
                const auto address = ParseAddress(text);
                if (!address.has_value()) {
                  throw CLI::ValidationError(name, "must be IP:PORT");
                }
                out.push_back(*address);
              }
            },
            about)
        ->delimiter(',')
        ->allow_extra_args(false)
        ->envname(variable)
        ->type_name("IP:PORT,...");
  }

  /// A time given in seconds.
  static CLI::Option* AddSeconds(CLI::App* to,
                                 const std::string& name,
                                 const std::string& about,
                                 duration& out) {
    return to
        ->add_option_function<double>(
            name,
            [&out](double seconds) {
              out = std::chrono::round<duration>(
                  std::chrono::duration<double>(seconds));
            },
            about)
        ->check(CLI::Range(0.001, 86400.0))
        ->type_name("SECONDS");
  }

  void AddCommon() {
    common_.administration = {{.ip = "127.0.0.1", .port = 8001}};
    common_.callers = {{.ip = "127.0.0.1", .port = 8000}};
    AddAddresses("--admin", "TREFOILMILL_ADMIN",
                 "Operators' addresses of daemons; the first that answers is "
                 "used. Default 127.0.0.1:8001.",
                 common_.administration);
    AddAddresses("--callers", "TREFOILMILL_CALLERS",
                 "Callers' addresses of daemons. Default 127.0.0.1:8000.",
                 common_.callers);
    app_.add_flag("--json", common_.json, "Output for programs.");
    AddSeconds(&app_, "--timeout", "Time limit of one call. Default 10.",
               common_.timeout);
  }

  void AddFiles() {
    auto validate = std::make_shared<validate_options>();
    CLI::App* added = AddCommand(
        "validate",
        "Check deployments and processes' settings; change nothing.",
        "Prints each error as FILE:LINE: KEY: what is wrong. Exit status 3 if "
        "there is one.",
        validate);
    added->add_option("FILE", validate->files, "Files to check.")->required();

    auto render = std::make_shared<render_options>();
    added = AddCommand("render",
                       "Print the deployment that a file's template and "
                       "parameters give.",
                       "Example: trefoilmillctl render FILE --catalog 7 prints "
                       "a catalog for trials.",
                       render);
    added->add_option("FILE", render->file, "A deployment.")->required();
    added->add_option("--catalog", render->catalog,
                      "Print a catalog with this version, whose shards have "
                      "replicas in different zones.");
  }

  void AddConfig() {
    auto apply = std::make_shared<apply_options>();
    CLI::App* added = AddCommand(
        "apply", "Check a deployment and bring it into force.",
        "Accepted means stored; --wait shows it come into force on all hosts. "
        "If someone\nelse changed it meanwhile, nothing is changed, both sides "
        "are shown, and the exit\nstatus is 4.",
        apply);
    added->add_option("FILE", apply->file, "A deployment.")->required();
    added->add_option("--expect", apply->expected,
                      "Replace only this revision; 0 if there is none yet. "
                      "Default: the one in force now.");
    added->add_flag("--dry-run", apply->dry_run, "Check only.");
    AddWait(added, apply->wait, apply->wait_limit);

    auto get = std::make_shared<get_options>();
    added = AddCommand("get", "Print the deployment in force.",
                       "The output can be edited and applied again.", get);
    added->add_flag("--revision", get->revision_only, "Only the revision.");
    added->add_flag("--expanded", get->expanded,
                    "What template and parameters give.");

    auto diff = std::make_shared<diff_options>();
    added = AddCommand("diff", "Show how a file differs from what is in force.",
                       "Exit status 0 if they are the same, 1 if not.", diff);
    added->add_option("FILE", diff->file, "A deployment.")->required();
  }

  static void AddWait(CLI::App* to, bool& wait, duration& limit) {
    to->add_flag("--wait", wait, "Wait until it is in force on every host.");
    AddSeconds(to, "--wait-limit", "Longest wait. Default 30.", limit);
  }

  void AddOperations() {
    auto status = std::make_shared<status_options>();
    CLI::App* added = AddCommand(
        "status", "Show hosts, documents, zones and endpoints.",
        "One host's view: what it sees and what the others told it.", status);
    added->add_flag("--watch", status->watch, "Repeat until interrupted.");
    AddSeconds(added, "--interval", "Between two reports. Default 2.",
               status->interval);
    added->add_option("--repeat", status->repeat,
                      "With --watch: stop after so many reports.");
    added->add_flag("--endpoints", status->endpoints,
                    "A line for each endpoint.");

    CLI::App* zone = app_.add_subcommand(
        "zone", "Take an availability zone out, or bring it back.");
    zone->require_subcommand(1);
    zone->fallthrough();
    AddZone(zone, "out", "No new work for this zone.", true);
    AddZone(zone, "in", "Bring this zone back into service.", false);
  }

  void AddZone(CLI::App* parent,
               const std::string& name,
               const std::string& about,
               bool out) {
    auto zone = std::make_shared<zone_options>();
    zone->out = out;
    CLI::App* added = AddCommand(
        name, about, "Work in progress finishes; connections close after it.",
        zone, parent);
    added->add_option("ZONE", zone->zone, "Its name.")->required();
    AddWait(added, zone->wait, zone->wait_limit);
  }

  void AddCallers() {
    auto entries = std::make_shared<entries_options>();
    CLI::App* added =
        AddCommand("entries", "List the addresses that a caller should use.",
                   "In the order in which to use them.", entries);
    added->add_option("--caller", entries->caller, "The caller's name.");

    auto cancel = std::make_shared<cancel_options>();
    added = AddCommand("cancel", "Withdraw a query.",
                       "Goes to the host that holds the query; see --callers.",
                       cancel);
    added->add_option("REQUEST", cancel->request, "Its request id.")
        ->required();
    AddQuery();
  }

  void AddQuery() {
    auto query = std::make_shared<query_options>();
    CLI::App* added = AddCommand(
        "query", "Ask services, as a caller does.",
        "Examples:\n"
        "  trefoilmillctl query --body milk --deadline-ms 200\n"
        "  trefoilmillctl query --service office-ledger --body 'order 7' "
        "--key order-7",
        query);
    added
        ->add_option("--service", query->services,
                     "A service to ask; may be repeated. Default: all.")
        ->allow_extra_args(false)
        ->delimiter(',');
    added->add_option("--body", query->body,
                      "Passed to endpoints; - reads standard input.");
    added->add_option("--deadline-ms", query->deadline_ms,
                      "Time to answer. Default: the deployment's.");
    added->add_option("--policy", query->policy, "How to trade coverage.")
        ->check(CLI::IsMember({"coverage_first", "latency_first"}));
    added
        ->add_option("--min-coverage", query->min_coverage,
                     "Least share of shards, 0 to 1.")
        ->check(CLI::Range(0.0, 1.0));
    added->add_option("--key", query->key,
                      "Not idempotent: runs at most once under this key.");
    added
        ->add_option("--priority", query->priority,
                     "0 (lowest) to 9. Default 5.")
        ->check(CLI::Range(kLowestPriority, kHighestPriority));
    added->add_option("--caller", query->caller, "Who asks, for fair shares.");
    added->add_option("--request-id", query->request, "Names the query.");
    added->add_flag("--whole", query->whole,
                    "Exit with 8 unless the answer is whole.");
  }

  void AddTimeline() {
    auto line = std::make_shared<timeline_options>();
    CLI::App* added = AddCommand(
        "timeline", "Show what happened, over all processes in one order.",
        "--format chrome writes a file for chrome://tracing and "
        "ui.perfetto.dev.\nExample: trefoilmillctl timeline --zone perth "
        "--last 60",
        line);
    AddId(added, "--request", "Only this query.", line->filter.request);
    AddId(added, "--endpoint", "Only this endpoint.", line->filter.endpoint);
    AddId(added, "--zone", "Only this zone.", line->filter.zone);
    added->add_option("--from-us", line->filter.from_wall_us,
                      "From this time, in microseconds since 1970.");
    added->add_option("--to-us", line->filter.to_wall_us, "Up to this time.");
    added
        ->add_option_function<double>(
            "--last",
            [line](double seconds) {
              line->last = std::chrono::round<duration>(
                  std::chrono::duration<double>(seconds));
            },
            "Only the last so many seconds.")
        ->check(CLI::Range(0.001, 1e9))
        ->type_name("SECONDS");
    added->add_option("--limit", line->filter.limit,
                      "Events of one process, at most. Default 10000.");
    added->add_option("--format", line->format, "text, json or chrome.")
        ->transform(
            CLI::CheckedTransformer(std::map<std::string, timeline_format>{
                {"text", timeline_format::kText},
                {"json", timeline_format::kJsonLines},
                {"chrome", timeline_format::kChromeTrace}}));
    added->add_option("--out", line->out, "Write to this file.");
    added->add_flag("--only", line->only,
                    "Ask only the --admin addresses, not all hosts.");
  }

  void AddExplain() {
    auto explain = std::make_shared<explain_options>();
    CLI::App* added = AddCommand(
        "explain",
        "Show what happened to one request, from the logs of all hosts.",
        "Needs no daemon. Exit status 1 if no line names the request.\n"
        "Example: cat logs/*.jsonl | trefoilmillctl explain 08750318a8aec8e2",
        explain);
    added
        ->add_option_function<std::string>(
            "REQUEST",
            [explain](const std::string& text) {
              explain->request = request_id(text);
            },
            "The request's id.")
        ->required();
    added->add_option("FILE", explain->files,
                      "Log files; - reads standard input, the default.");
  }

  void AddRollouts() {
    auto rollouts = std::make_shared<rollouts_options>();
    CLI::App* added = AddCommand(
        "rollouts",
        "Show the way of roll-outs and their reasons, from the logs of all "
        "hosts.",
        "Needs no daemon. Exit status 1 if no line tells of one.\n"
        "Example: trefoilmillctl rollouts logs/*.jsonl --service shelf-3",
        rollouts);
    added->add_option_function<std::string>(
        "--service",
        [rollouts](const std::string& text) {
          rollouts->service = service_id(text);
        },
        "Only the roll-outs of this service.");
    added->add_option("FILE", rollouts->files,
                      "Log files; - reads standard input, the default.");
  }

  template <class id>
  static void AddId(CLI::App* to,
                    const std::string& name,
                    const std::string& about,
                    std::optional<id>& out) {
    to->add_option_function<std::string>(
          name, [&out](const std::string& text) { out = id(text); }, about)
        ->type_name("NAME");
  }

  CLI::App app_;
  common_options common_;
  command chosen_;
};

}  // namespace

std::variant<parsed_command, exit_code> ParseCommandLine(
    int argc,
    const char* const* argv) {
  return command_line().Parse(argc, argv);
}

}  // namespace trefoilmill
