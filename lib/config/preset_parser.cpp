// The reader walks the JSON with a cursor that knows its place, so that every
// mistake names a JSON pointer.
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

/// A JSON value, its place, and the list that mistakes go to.
class cursor
{
public:
    cursor(const json& value, std::string where,
           std::vector<preset_error>& mistakes)
        : value_(value), where_(std::move(where)), mistakes_(mistakes)
    {
    }

    void report(std::string message, std::string remedy) const
    {
        mistakes_.push_back({where_, std::move(message), std::move(remedy)});
    }

    void report_at(std::string_view key, std::string message,
                   std::string remedy) const
    {
        mistakes_.push_back({where_ + "/" + std::string{key},
                             std::move(message), std::move(remedy)});
    }

    /// Reports every member whose name is not in `known`.
    void refuse_unknown(std::initializer_list<std::string_view> known) const
    {
        if (!value_.is_object())
        {
            report("expected an object", "write { ... }");
            return;
        }
        for (const auto& [key, ignored] : value_.items())
            if (std::find(known.begin(), known.end(), key) == known.end())
                report_at(key, "unknown field",
                          "remove it or correct its spelling");
    }

    [[nodiscard]] std::string text(std::string_view key) const
    {
        const auto* item = find(key);
        if (item != nullptr && item->is_string() &&
            !item->get_ref<const std::string&>().empty())
            return item->get<std::string>();
        report_at(key, "expected a non-empty string", "add the field");
        return {};
    }

    /// Reads an optional number within [low, high].
    [[nodiscard]] double number(std::string_view key, double fallback,
                                double low, double high) const
    {
        const auto* item = find(key);
        if (item == nullptr)
            return fallback;
        if (item->is_number() && item->get<double>() >= low &&
            item->get<double>() <= high)
            return item->get<double>();
        report_at(key,
                  "expected a number from " + json(low).dump() + " to " +
                      json(high).dump(),
                  "write a plain number in the unit of the field's name");
        return fallback;
    }

    [[nodiscard]] std::uint32_t count(std::string_view key,
                                      std::uint32_t fallback, std::uint32_t low,
                                      std::uint32_t high) const
    {
        const double value = number(key, fallback, low, high);
        if (value == std::floor(value))
            return static_cast<std::uint32_t>(value);
        report_at(key, "expected a whole number", "drop the fraction");
        return fallback;
    }

    [[nodiscard]] bool flag(std::string_view key, bool fallback) const
    {
        const auto* item = find(key);
        if (item == nullptr)
            return fallback;
        if (item->is_boolean())
            return item->get<bool>();
        report_at(key, "expected true or false", "write true or false");
        return fallback;
    }

    template <typename Enum, std::size_t Size>
    [[nodiscard]] Enum choice(std::string_view key,
                              const std::array<enum_name<Enum>, Size>& table,
                              Enum fallback) const
    {
        const auto* item = find(key);
        if (item == nullptr)
            return fallback;
        if (item->is_string())
            if (const auto found =
                    value_in(table, item->get_ref<const std::string&>()))
                return *found;
        std::string names;
        for (const auto& row : table)
            names += (names.empty() ? "" : ", ") + std::string{row.name};
        report_at(key, "expected one of: " + names, "write one of the names");
        return fallback;
    }

    /// Calls `visit` with a cursor for each element of the array at `key`.
    template <typename Visit>
    void each(std::string_view key, bool required, Visit visit) const
    {
        const auto* item = find(key);
        if (item == nullptr && !required)
            return;
        if (item == nullptr || !item->is_array())
        {
            report_at(key, "expected an array", "write [ ... ]");
            return;
        }
        const auto base = where_ + "/" + std::string{key} + "/";
        for (std::size_t index = 0; index < item->size(); ++index)
            visit(cursor{(*item)[index], base + std::to_string(index),
                         mistakes_});
    }

    /// Calls `visit` with a cursor for the object at `key`, if there is one.
    template <typename Visit>
    void inside(std::string_view key, Visit visit) const
    {
        if (const auto* item = find(key))
            visit(cursor{*item, where_ + "/" + std::string{key}, mistakes_});
    }

    [[nodiscard]] const json& value() const
    {
        return value_;
    }

private:
    [[nodiscard]] const json* find(std::string_view key) const
    {
        if (!value_.is_object())
            return nullptr;
        const auto found = value_.find(key);
        return found == value_.end() ? nullptr : &*found;
    }

    const json& value_;
    std::string where_;
    std::vector<preset_error>& mistakes_;
};

constexpr double ms_per_s = 1000.0;
constexpr double max_seconds = 86400.0;

duration read_ms(const cursor& at, std::string_view key, duration fallback)
{
    const double ms = at.number(key, to_seconds(fallback) * ms_per_s, 1,
                                max_seconds * ms_per_s);
    return from_seconds(ms / ms_per_s);
}

duration read_s(const cursor& at, std::string_view key, duration fallback)
{
    return from_seconds(
        at.number(key, to_seconds(fallback), 0.001, max_seconds));
}

bool is_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    const auto port = text.substr(colon + 1);
    return !port.empty() && port.size() <= 5 &&
           std::all_of(port.begin(), port.end(),
                       [](unsigned char c) { return std::isdigit(c) != 0; });
}

upstream read_upstream(const cursor& at)
{
    at.refuse_unknown({"name", "data_centre", "address", "intent"});
    upstream result;
    result.name = at.text("name");
    result.id = make_upstream_id(result.name);
    result.data_centre = at.text("data_centre");
    result.address = at.text("address");
    if (!result.address.empty() && !is_address(result.address))
        at.report_at("address", "expected host:port",
                     "write an IPv4 address and a port");
    result.intent =
        at.choice("intent", upstream_intent_names, upstream_intent::serving);
    return result;
}

void read_objectives(const cursor& at, service_level_objectives& objectives)
{
    at.refuse_unknown(
        {"first_token_ms", "between_tokens_ms", "answered_within_s", "share"});
    objectives.first_token =
        read_ms(at, "first_token_ms", objectives.first_token);
    objectives.between_tokens =
        read_ms(at, "between_tokens_ms", objectives.between_tokens);
    objectives.answered_within =
        read_s(at, "answered_within_s", objectives.answered_within);
    objectives.target_share =
        at.number("share", objectives.target_share, 0.5, 0.99999);
}

void read_cold_start(const cursor& at, cold_start_policy& policy)
{
    constexpr std::uint32_t max_request_limit = 10000;
    at.refuse_unknown({"bearable", "ramp_s"});
    policy.request_limit =
        at.count("bearable", policy.request_limit, 1, max_request_limit);
    policy.ramp = read_s(at, "ramp_s", policy.ramp);
}

service read_service(const cursor& at)
{
    constexpr std::uint32_t max_requests = 100000;
    at.refuse_unknown({"name", "kind", "models", "load_multiple", "load_floor",
                       "capacity", "queue_limit", "checks_fencing",
                       "cold_start", "objectives", "non_repeatable",
                       "upstreams"});
    service result;
    result.name = at.text("name");
    result.kind = at.choice("kind", service_kind_names, service_kind::model);
    at.each("models", false,
            [&](const cursor& model)
            {
                if (model.value().is_string())
                    result.models.push_back(model.value().get<std::string>());
                else
                    model.report("expected a string", "name the model");
            });
    result.load_multiple = at.number("load_multiple", result.load_multiple,
                                     1.01, max_load_multiple);
    result.load_floor =
        at.count("load_floor", result.load_floor, 1, max_requests);
    result.capacity = at.count("capacity", result.capacity, 1, max_requests);
    result.queue_limit =
        at.count("queue_limit", result.queue_limit, 0, max_requests);
    result.checks_fencing = at.flag("checks_fencing", false);
    at.inside("cold_start", [&](const cursor& inner)
              { read_cold_start(inner, result.cold_start); });
    at.inside("objectives", [&](const cursor& inner)
              { read_objectives(inner, result.objectives); });
    at.each("non_repeatable", false,
            [&](const cursor& route)
            {
                route.refuse_unknown({"method", "path"});
                result.non_repeatable.push_back(
                    {route.text("method"), route.text("path")});
            });
    at.each("upstreams", true,
            [&](const cursor& item)
            { result.upstreams.push_back(read_upstream(item)); });
    return result;
}

void check_service(const cursor& at, const service& item, const preset& whole,
                   std::set<upstream_id>& seen)
{
    if (item.kind == service_kind::model && item.models.empty())
        at.report("model service " + item.name + " names no model",
                  "add \"models\": [\"...\"]");
    if (item.cold_start.request_limit > item.capacity)
        at.report("cold_start.bearable of " + item.name + " exceeds capacity",
                  "lower bearable or raise capacity");
    for (const auto& server : item.upstreams)
    {
        if (whole.find_data_centre(server.data_centre) == nullptr)
            at.report("upstream " + server.name + " names data centre \"" +
                          server.data_centre + "\", which is not listed",
                      "add it under /data_centres or correct the name");
        if (!seen.insert(server.id).second)
            at.report("upstream name " + server.name +
                          " is used twice or its identifier collides",
                      "choose another name");
    }
}

void check_whole(const cursor& at, const preset& whole)
{
    std::set<upstream_id> seen;
    std::set<std::string> names;
    for (const auto& item : whole.services)
    {
        if (!names.insert(item.name).second)
            at.report("service " + item.name + " is listed twice",
                      "remove one");
        check_service(at, item, whole, seen);
    }
    const bool any_in =
        std::any_of(whole.data_centres.begin(), whole.data_centres.end(),
                    [](const auto& item) { return item.in_service; });
    if (!any_in)
        at.report("every data centre is out of service",
                  "keep at least one in service");
}

preset read_preset(const cursor& at)
{
    constexpr std::uint32_t max_weight = 1000;
    constexpr std::uint32_t most_attempts = 10;
    at.refuse_unknown({"format", "name", "data_centres", "customers",
                       "services", "retries", "default_timeout_s"});
    preset result;
    if (at.number("format", 0, supported_format, supported_format) !=
        supported_format)
        at.report_at("format", "this version reads format 1",
                     "write \"format\": 1");
    result.name = at.text("name");
    at.each("data_centres", true,
            [&](const cursor& item)
            {
                item.refuse_unknown({"name", "region", "in_service"});
                result.data_centres.push_back({item.text("name"),
                                               item.text("region"),
                                               item.flag("in_service", true)});
            });
    at.each("customers", false,
            [&](const cursor& item)
            {
                item.refuse_unknown({"name", "weight"});
                const auto name = item.text("name");
                result.customers.push_back(
                    {name, make_customer_id(name),
                     item.count("weight", 1, 1, max_weight)});
            });
    at.each("services", true,
            [&](const cursor& item)
            { result.services.push_back(read_service(item)); });
    at.inside("retries",
              [&](const cursor& item)
              {
                  item.refuse_unknown({"max_attempts", "budget_share"});
                  result.retries.max_attempts =
                      item.count("max_attempts", result.retries.max_attempts, 1,
                                 most_attempts);
                  result.retries.budget_share = item.number(
                      "budget_share", result.retries.budget_share, 0, 1);
              });
    result.default_timeout =
        read_s(at, "default_timeout_s", result.default_timeout);
    check_whole(at, result);
    return result;
}

/// Returns line and column of byte `offset` for messages about broken JSON.
std::string place_in(std::string_view text, std::size_t offset)
{
    const auto before = text.substr(0, std::min(offset, text.size()));
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const auto start = before.rfind('\n');
    const auto column =
        before.size() - (start == std::string_view::npos ? 0 : start + 1);
    return "line " + std::to_string(line) + ", column " +
           std::to_string(column);
}

} // namespace

std::optional<preset> parse_preset(std::string_view text,
                                   std::vector<preset_error>& mistakes)
{
    json root;
    try
    {
        root = json::parse(text);
    }
    catch (const json::parse_error& error)
    {
        mistakes.push_back({place_in(text, error.byte), "not valid JSON",
                            "correct the syntax there"});
        return std::nullopt;
    }
    const auto known = mistakes.size();
    auto result = read_preset(cursor{root, "", mistakes});
    if (mistakes.size() != known)
        return std::nullopt;
    return result;
}

std::string to_envelope(const accepted_preset& accepted)
{
    return json{{"generation", accepted.generation_number},
                {"nonce", accepted.nonce},
                {"author", accepted.author},
                {"accepted_at", accepted.accepted_at},
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
    }
    catch (const json::exception&)
    {
        reason = {failure_kind::invalid_preset,
                  "the stored preset envelope cannot be read",
                  "activate a preset again with baobabctl"};
        return std::nullopt;
    }
    std::vector<preset_error> mistakes;
    auto value = parse_preset(result.text, mistakes);
    if (!value)
    {
        reason = {failure_kind::invalid_preset,
                  mistakes.front().location + ": " + mistakes.front().message,
                  mistakes.front().remedy};
        return std::nullopt;
    }
    result.value = std::move(*value);
    return result;
}

std::vector<preset_change> diff_presets(std::string_view before,
                                        std::string_view after)
{
    const auto old_root = json::parse(before, nullptr, false);
    const auto new_root = json::parse(after, nullptr, false);
    std::vector<preset_change> changes;
    for (const auto& step : json::diff(old_root, new_root))
    {
        const auto where = step.at("path").get<std::string>();
        const json::json_pointer place{where};
        preset_change change{where, {}, {}};
        if (step.at("op") != "add" && old_root.contains(place))
            change.before = old_root.at(place).dump();
        if (step.contains("value"))
            change.after = step.at("value").dump();
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
