// Parses, checks, compares and edits preset JSON. Parsing goes through a reader
// that tracks its JSON pointer, so that every reported error has a location.
#include "baobabloft/config/preset_parser.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace baobabloft::config
{

namespace
{

using nlohmann::json;

constexpr std::int64_t supported_format = 1;
constexpr double max_load_multiple = 10.0;

/// Reads members of one JSON value. Reports each invalid member, with its JSON
/// pointer, to the error list and returns a fallback in its place.
class json_reader
{
public:
    json_reader(const json& value, std::string location,
                std::vector<preset_error>& errors)
        : value_(value), location_(std::move(location)), errors_(errors)
    {
    }

    /// Reports an error in the value itself.
    void report(std::string message, std::string remedy) const
    {
        errors_.push_back({location_, std::move(message), std::move(remedy)});
    }

    /// Reports an error in member `key`.
    void report_member(std::string_view key, std::string message,
                       std::string remedy) const
    {
        errors_.push_back({location_ + "/" + std::string{key},
                           std::move(message), std::move(remedy)});
    }

    /// Reports every member whose name is not in `known`.
    void
    reject_unknown_members(std::initializer_list<std::string_view> known) const
    {
        if (!value_.is_object())
        {
            report("expected an object", "write { ... }");
            return;
        }
        for (const auto& [key, ignored] : value_.items())
            if (std::find(known.begin(), known.end(), key) == known.end())
                report_member(key, "unknown field",
                              "remove it or correct its spelling");
    }

    /// Reads a required, non-empty string.
    [[nodiscard]] std::string read_string(std::string_view key) const
    {
        const auto* item = find_member(key);
        if (item != nullptr && item->is_string() &&
            !item->get_ref<const std::string&>().empty())
            return item->get<std::string>();
        report_member(key, "expected a non-empty string", "add the field");
        return {};
    }

    /// Reads an optional number within [low, high].
    [[nodiscard]] double read_number(std::string_view key, double fallback,
                                     double low, double high) const
    {
        const auto* item = find_member(key);
        if (item == nullptr)
            return fallback;
        if (item->is_number() && item->get<double>() >= low &&
            item->get<double>() <= high)
            return item->get<double>();
        report_member(key,
                      "expected a number from " + json(low).dump() + " to " +
                          json(high).dump(),
                      "write a number in the unit that the field name gives");
        return fallback;
    }

    /// Reads an optional integer within [low, high].
    [[nodiscard]] std::uint32_t read_count(std::string_view key,
                                           std::uint32_t fallback,
                                           std::uint32_t low,
                                           std::uint32_t high) const
    {
        const double value = read_number(key, fallback, low, high);
        if (value == std::floor(value))
            return static_cast<std::uint32_t>(value);
        report_member(key, "expected an integer", "remove the fractional part");
        return fallback;
    }

    /// Reads an optional boolean.
    [[nodiscard]] bool read_bool(std::string_view key, bool fallback) const
    {
        const auto* item = find_member(key);
        if (item == nullptr)
            return fallback;
        if (item->is_boolean())
            return item->get<bool>();
        report_member(key, "expected true or false", "write true or false");
        return fallback;
    }

    /// Reads an optional enumerator by its name in `table`.
    template <typename Enum, std::size_t Size>
    [[nodiscard]] Enum read_enum(std::string_view key,
                                 const std::array<enum_name<Enum>, Size>& table,
                                 Enum fallback) const
    {
        const auto* item = find_member(key);
        if (item == nullptr)
            return fallback;
        if (item->is_string())
            if (const auto found =
                    value_in(table, item->get_ref<const std::string&>()))
                return *found;
        std::string names;
        for (const auto& row : table)
            names += (names.empty() ? "" : ", ") + std::string{row.name};
        report_member(key, "expected one of: " + names,
                      "write one of the names");
        return fallback;
    }

    /// Calls `visit` with a reader for each element of the array at `key`. A
    /// missing array is an error only if `required` is true.
    template <typename Visit>
    void visit_elements(std::string_view key, bool required, Visit visit) const
    {
        const auto* item = find_member(key);
        if (item == nullptr && !required)
            return;
        if (item == nullptr || !item->is_array())
        {
            report_member(key, "expected an array", "write [ ... ]");
            return;
        }
        const auto base = location_ + "/" + std::string{key} + "/";
        for (std::size_t index = 0; index < item->size(); ++index)
            visit(json_reader{(*item)[index], base + std::to_string(index),
                              errors_});
    }

    /// Calls `visit` with a reader for the member `key`, if it is present.
    template <typename Visit>
    void visit_member(std::string_view key, Visit visit) const
    {
        if (const auto* item = find_member(key))
            visit(json_reader{*item, location_ + "/" + std::string{key},
                              errors_});
    }

    [[nodiscard]] const json& value() const
    {
        return value_;
    }

private:
    /// Returns member `key`, or null if it is missing.
    [[nodiscard]] const json* find_member(std::string_view key) const
    {
        if (!value_.is_object())
            return nullptr;
        const auto found = value_.find(key);
        return found == value_.end() ? nullptr : &*found;
    }

    const json& value_;
    std::string location_;
    std::vector<preset_error>& errors_;
};

constexpr double ms_per_s = 1000.0;
constexpr double max_duration_s = 86400.0;

duration read_duration_ms(const json_reader& reader, std::string_view key,
                          duration fallback)
{
    const double ms = reader.read_number(key, to_seconds(fallback) * ms_per_s,
                                         1, max_duration_s * ms_per_s);
    return from_seconds(ms / ms_per_s);
}

duration read_duration_s(const json_reader& reader, std::string_view key,
                         duration fallback)
{
    return from_seconds(
        reader.read_number(key, to_seconds(fallback), 0.001, max_duration_s));
}

bool is_host_port(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    const auto port = text.substr(colon + 1);
    return !port.empty() && port.size() <= 5 &&
           std::all_of(port.begin(), port.end(),
                       [](unsigned char c) { return std::isdigit(c) != 0; });
}

upstream read_upstream(const json_reader& reader)
{
    reader.reject_unknown_members({"name", "data_centre", "address", "intent"});
    upstream result;
    result.name = reader.read_string("name");
    result.id = make_upstream_id(result.name);
    result.data_centre = reader.read_string("data_centre");
    result.address = reader.read_string("address");
    if (!result.address.empty() && !is_host_port(result.address))
        reader.report_member("address", "expected host:port",
                             "write an IPv4 address and a port");
    result.intent = reader.read_enum("intent", upstream_intent_names,
                                     upstream_intent::serving);
    return result;
}

void read_objectives(const json_reader& reader,
                     service_level_objectives& objectives)
{
    reader.reject_unknown_members(
        {"first_token_ms", "between_tokens_ms", "answered_within_s", "share"});
    objectives.first_token =
        read_duration_ms(reader, "first_token_ms", objectives.first_token);
    objectives.between_tokens = read_duration_ms(reader, "between_tokens_ms",
                                                 objectives.between_tokens);
    objectives.answered_within = read_duration_s(reader, "answered_within_s",
                                                 objectives.answered_within);
    objectives.target_share =
        reader.read_number("share", objectives.target_share, 0.5, 0.99999);
}

void read_cold_start(const json_reader& reader, cold_start_policy& policy)
{
    constexpr std::uint32_t max_request_limit = 10000;
    reader.reject_unknown_members({"bearable", "ramp_s"});
    policy.request_limit = reader.read_count("bearable", policy.request_limit,
                                             1, max_request_limit);
    policy.ramp = read_duration_s(reader, "ramp_s", policy.ramp);
}

service read_service(const json_reader& reader)
{
    constexpr std::uint32_t max_requests = 100000;
    reader.reject_unknown_members({"name", "kind", "models", "load_multiple",
                                   "load_floor", "capacity", "queue_limit",
                                   "checks_fencing", "cold_start", "objectives",
                                   "non_repeatable", "upstreams"});
    service result;
    result.name = reader.read_string("name");
    result.kind =
        reader.read_enum("kind", service_kind_names, service_kind::model);
    reader.visit_elements(
        "models", false,
        [&](const json_reader& model)
        {
            if (model.value().is_string())
                result.models.push_back(model.value().get<std::string>());
            else
                model.report("expected a string",
                             "write the model's name as a string");
        });
    result.load_multiple = reader.read_number(
        "load_multiple", result.load_multiple, 1.01, max_load_multiple);
    result.load_floor =
        reader.read_count("load_floor", result.load_floor, 1, max_requests);
    result.capacity =
        reader.read_count("capacity", result.capacity, 1, max_requests);
    result.queue_limit =
        reader.read_count("queue_limit", result.queue_limit, 0, max_requests);
    result.checks_fencing = reader.read_bool("checks_fencing", false);
    reader.visit_member("cold_start", [&](const json_reader& member)
                        { read_cold_start(member, result.cold_start); });
    reader.visit_member("objectives", [&](const json_reader& member)
                        { read_objectives(member, result.objectives); });
    reader.visit_elements(
        "non_repeatable", false,
        [&](const json_reader& route)
        {
            route.reject_unknown_members({"method", "path"});
            result.non_repeatable.push_back(
                {route.read_string("method"), route.read_string("path")});
        });
    reader.visit_elements("upstreams", true,
                          [&](const json_reader& item)
                          { result.upstreams.push_back(read_upstream(item)); });
    return result;
}

void check_service(const json_reader& reader, const service& item,
                   const preset& preset, std::set<upstream_id>& seen_ids)
{
    if (item.kind == service_kind::model && item.models.empty())
        reader.report("model service " + item.name + " lists no models",
                      "add \"models\": [\"...\"]");
    if (item.cold_start.request_limit > item.capacity)
        reader.report("cold_start.bearable of " + item.name +
                          " exceeds capacity",
                      "lower bearable or raise capacity");
    for (const auto& upstream : item.upstreams)
    {
        if (preset.find_data_centre(upstream.data_centre) == nullptr)
            reader.report("upstream " + upstream.name +
                              " refers to data centre \"" +
                              upstream.data_centre + "\", which is not defined",
                          "define it under /data_centres or correct the name");
        if (!seen_ids.insert(upstream.id).second)
            reader.report("upstream name " + upstream.name +
                              " is used twice or its identifier collides "
                              "with another upstream's",
                          "choose another name");
    }
}

void check_preset(const json_reader& reader, const preset& preset)
{
    std::set<upstream_id> seen_ids;
    std::set<std::string> service_names;
    for (const auto& item : preset.services)
    {
        if (!service_names.insert(item.name).second)
            reader.report("service " + item.name + " is listed twice",
                          "remove one");
        check_service(reader, item, preset, seen_ids);
    }
    const bool any_in_service =
        std::any_of(preset.data_centres.begin(), preset.data_centres.end(),
                    [](const auto& item) { return item.in_service; });
    if (!any_in_service)
        reader.report("every data centre is out of service",
                      "keep at least one in service");
}

preset read_preset(const json_reader& reader)
{
    constexpr std::uint32_t max_weight = 1000;
    constexpr std::uint32_t max_attempts = 10;
    reader.reject_unknown_members({"format", "name", "data_centres",
                                   "customers", "services", "retries",
                                   "default_timeout_s"});
    preset result;
    if (reader.read_number("format", 0, supported_format, supported_format) !=
        supported_format)
        reader.report_member("format", "this version supports only format 1",
                             "write \"format\": 1");
    result.name = reader.read_string("name");
    reader.visit_elements(
        "data_centres", true,
        [&](const json_reader& item)
        {
            item.reject_unknown_members({"name", "region", "in_service"});
            result.data_centres.push_back({item.read_string("name"),
                                           item.read_string("region"),
                                           item.read_bool("in_service", true)});
        });
    reader.visit_elements(
        "customers", false,
        [&](const json_reader& item)
        {
            item.reject_unknown_members({"name", "weight"});
            const auto name = item.read_string("name");
            result.customers.push_back(
                {name, make_customer_id(name),
                 item.read_count("weight", 1, 1, max_weight)});
        });
    reader.visit_elements("services", true,
                          [&](const json_reader& item)
                          { result.services.push_back(read_service(item)); });
    reader.visit_member(
        "retries",
        [&](const json_reader& item)
        {
            item.reject_unknown_members({"max_attempts", "budget_share"});
            result.retries.max_attempts = item.read_count(
                "max_attempts", result.retries.max_attempts, 1, max_attempts);
            result.retries.budget_share = item.read_number(
                "budget_share", result.retries.budget_share, 0, 1);
        });
    result.default_timeout =
        read_duration_s(reader, "default_timeout_s", result.default_timeout);
    check_preset(reader, result);
    return result;
}

/// Returns the line and column, both counted from 1, of the last of the first
/// `offset` bytes, for errors in JSON syntax.
std::string line_and_column(std::string_view text, std::size_t offset)
{
    const auto before = text.substr(0, std::min(offset, text.size()));
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const auto previous_newline = before.rfind('\n');
    const auto column =
        before.size() -
        (previous_newline == std::string_view::npos ? 0 : previous_newline + 1);
    return "line " + std::to_string(line) + ", column " +
           std::to_string(column);
}

} // namespace

std::optional<preset> parse_preset(std::string_view text,
                                   std::vector<preset_error>& errors)
{
    json root;
    try
    {
        root = json::parse(text);
    }
    catch (const json::parse_error& error)
    {
        errors.push_back({line_and_column(text, error.byte), "invalid JSON",
                          "correct the syntax at this position"});
        return std::nullopt;
    }
    const auto errors_before = errors.size();
    auto result = read_preset(json_reader{root, "", errors});
    if (errors.size() != errors_before)
        return std::nullopt;
    return result;
}

std::string to_envelope(const accepted_preset& accepted)
{
    return json{{"generation", accepted.generation_number},
                {"nonce", accepted.nonce},
                {"author", accepted.author},
                {"accepted_at", accepted.accepted_at},
                {"predecessors", accepted.predecessors},
                {"preset", accepted.text}}
        .dump();
}

std::optional<accepted_preset> parse_envelope(std::string_view text,
                                              failure& reason)
{
    const auto root = json::parse(text, nullptr, false);
    accepted_preset result;
    try
    {
        result.generation_number = root.at("generation").get<generation>();
        result.nonce = root.at("nonce").get<std::string>();
        result.author = root.at("author").get<std::string>();
        result.accepted_at = root.at("accepted_at").get<std::int64_t>();
        result.text = root.at("preset").get<std::string>();
        result.predecessors =
            root.value("predecessors", std::vector<std::string>{});
    }
    catch (const json::exception&)
    {
        reason = {failure_kind::invalid_preset,
                  "the stored preset envelope is malformed",
                  "activate a preset again with baobabctl"};
        return std::nullopt;
    }
    std::vector<preset_error> errors;
    auto parsed = parse_preset(result.text, errors);
    if (!parsed)
    {
        reason = {failure_kind::invalid_preset,
                  errors.front().location + ": " + errors.front().message,
                  errors.front().remedy};
        return std::nullopt;
    }
    result.value = std::move(*parsed);
    return result;
}

std::vector<preset_change> diff_presets(std::string_view before,
                                        std::string_view after)
{
    const auto old_root = json::parse(before, nullptr, false);
    const auto new_root = json::parse(after, nullptr, false);
    std::vector<preset_change> changes;
    for (const auto& operation : json::diff(old_root, new_root))
    {
        const auto pointer = operation.at("path").get<std::string>();
        const json::json_pointer json_pointer{pointer};
        preset_change change{pointer, {}, {}};
        if (operation.at("op") != "add" && old_root.contains(json_pointer))
            change.before = old_root.at(json_pointer).dump();
        if (operation.contains("value"))
            change.after = operation.at("value").dump();
        changes.push_back(std::move(change));
    }
    return changes;
}

std::optional<std::string> set_data_centre_in_service(std::string_view text,
                                                      std::string_view name,
                                                      bool in_service,
                                                      failure& reason)
{
    auto root = json::parse(text, nullptr, false);
    for (auto& item : root["data_centres"])
    {
        if (item.value("name", "") != name)
            continue;
        item["in_service"] = in_service;
        return root.dump(2);
    }
    reason = {failure_kind::invalid_preset,
              "the preset in force has no data centre " + std::string{name},
              "use a name that `baobabctl preset show` lists"};
    return std::nullopt;
}

std::optional<std::string> set_upstream_intent(std::string_view text,
                                               std::string_view name,
                                               upstream_intent intent,
                                               failure& reason)
{
    auto root = json::parse(text, nullptr, false);
    for (auto& service : root["services"])
        for (auto& item : service["upstreams"])
        {
            if (item.value("name", "") != name)
                continue;
            item["intent"] = name_in(upstream_intent_names, intent);
            return root.dump(2);
        }
    reason = {failure_kind::invalid_preset,
              "the preset in force has no upstream " + std::string{name},
              "use a name that `baobabctl upstream list` shows"};
    return std::nullopt;
}

} // namespace baobabloft::config
