package pearladder.router.kserve;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import pearladder.config.ConfigValue;
import pearladder.config.YamlParser;
import pearladder.eventlog.RetentionSettings;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.RoutingSettings.AttemptLimits;
import pearladder.routing.api.RoutingSettings.CostModel;
import pearladder.routing.api.RoutingSettings.DeduplicationScope;
import pearladder.routing.api.RoutingSettings.DiscoverySettings;
import pearladder.routing.api.RoutingSettings.Idempotency;
import pearladder.routing.api.RoutingSettings.InstanceSettings;
import pearladder.routing.api.RoutingSettings.LoadQuota;
import pearladder.routing.api.RoutingSettings.LoadReportSettings;
import pearladder.routing.api.RoutingSettings.RequestClass;
import pearladder.routing.api.RoutingSettings.ResponseGrace;
import pearladder.routing.api.RoutingSettings.SlowStartSettings;
import pearladder.routing.api.RoutingSettings.Tenant;
import pearladder.routing.api.TimeSpan;

/** Reads a router's file, checks all of it and names every mistake. docs/operating.md lists the keys. */
public final class RouterConfigParser {
    private RouterConfigParser() {}

    /** Reads a file; throws {@link pearladder.config.ConfigErrors.Found} with every mistake in it. */
    public static RouterConfig read(Path file) {
        return read(YamlParser.read(file));
    }

    /** The same of what was read already. */
    public static RouterConfig read(ConfigValue file) {
        ConfigValue router = file.at("router");
        ConfigValue list = file.at("list");
        ConfigValue limits = file.at("limits");
        ConfigValue connections = file.at("connections");
        String name = router.at("name").text();
        if (!name.matches("[A-Za-z0-9._-]{1,64}")) {
            router.at("name").wrong("a name has 1 to 64 letters, digits, dots, hyphens or underscores", "change it");
        }
        String[] listen = address(router.at("listen"), true);
        String[] at = address(list.at("address"), false);
        String[] admin = router.at("admin").given() ? address(router.at("admin"), true) : null;
        TimeSpan dial = span(connections.at("dial"), "250 ms");
        RoutingSettings facts = facts(file, router, dial);
        List<RouterConfig.ModelTerms> models = file.at("models").each(model -> model(model, facts));
        if (models.isEmpty()) {
            file.at("models").wrong("no model is named", "write \"- {name: \\\"*\\\", memory: 400 MB, lanes: 2}\"");
        }
        RouterConfig articles = new RouterConfig(
                name,
                listen[0],
                Integer.parseInt(listen[1]),
                Path.of(router.at("data").text("data/" + name)),
                admin == null ? null : new RouterConfig.Address(admin[0], Integer.parseInt(admin[1])),
                file.at("releases").at("learn_from").each(other -> {
                    String[] door = address(other, false);
                    return new RouterConfig.Address(door[0], Integer.parseInt(door[1]));
                }),
                new RouterConfig.ListService(at[0], Integer.parseInt(at[1]), span(list.at("silence"), "3 s")),
                facts,
                models,
                new RouterConfig.Limits(
                        limits.at("payload").bytes("16 MB"),
                        limits.at("answer").bytes("64 MB"),
                        limits.at("open_calls").whole(20_000, 1, 10_000_000),
                        span(limits.at("body_within"), "10 s"),
                        span(limits.at("idle"), "120 s")),
                new RouterConfig.Connections(
                        connections.at("per_engine").whole(256, 1, 65_535), dial, span(connections.at("idle"), "30 s")),
                span(router.at("stop_within"), "10 s"),
                keeping(file.at("records")));
        for (RequestClass category : facts.requestClasses()) {
            if (!articles.limits().idle().isLongerThan(category.deadline())) {
                limits.at("idle")
                        .wrong(
                                "a client's idle time is no longer than the abandon time of " + category.name(),
                                "make it longer, or waiting clients are cut off");
            }
        }
        file.done();
        return articles;
    }

    /** Kept where the section stands there. */
    private static RetentionSettings keeping(ConfigValue records) {
        if (!records.given()) {
            return null;
        }
        RetentionSettings keeping = new RetentionSettings(
                records.at("file").bytes("64 MB"),
                span(records.at("file_age"), "86400 s").toMillis(),
                records.at("all").bytes("2 GB"),
                span(records.at("kept"), "8640000 s").toMillis(),
                span(records.at("details"), "604800 s").toMillis());
        if (keeping.allBytes() < 2 * keeping.segmentBytes()) {
            records.at("all")
                    .wrong("all records are less than two files of them", "make it larger, or \"file\" smaller");
        }
        return keeping;
    }

    private static String[] address(ConfigValue value, boolean anyPort) {
        String text = value.text();
        int colon = text.lastIndexOf(':');
        String port = colon < 0 ? "" : text.substring(colon + 1);
        if (colon < 1
                || !port.matches("[0-9]{1,5}")
                || Integer.parseInt(port) > 65_535
                || !anyPort && port.equals("0")) {
            value.wrong(
                    "an address with its port was expected, not \"" + text + "\"",
                    "write for example \"127.0.0.1:8080\"");
            return new String[] {"127.0.0.1", "0"};
        }
        return new String[] {text.substring(0, colon), port};
    }

    private static TimeSpan span(ConfigValue value, String otherwise) {
        return new TimeSpan(value.span(otherwise));
    }

    private static RoutingSettings facts(ConfigValue file, ConfigValue router, TimeSpan dial) {
        ConfigValue rules = file.at("rules");
        ConfigValue cold = rules.at("cold");
        ConfigValue ration = rules.at("ration");
        ConfigValue allowances = file.at("allowances");
        ConfigValue copies = file.at("copies");
        ConfigValue prices = file.at("prices");
        List<RequestClass> categories = new ArrayList<>(
                file.at("categories").eachKey(RouterConfigParser::terms).values());
        if (categories.isEmpty()) {
            file.at("categories")
                    .wrong("no category is named", "write one with its expected and abandon time and its effect");
        }
        List<Tenant> accounts = new ArrayList<>(file.at("accounts")
                .eachKey((key, account) -> new Tenant(
                        key,
                        account.at("share").number(0, 1),
                        account.at("per_second").number(0, 0, 1e9)))
                .values());
        double shares = accounts.stream().mapToDouble(Tenant::share).sum();
        if (shares > 1.0001) {
            file.at("accounts").wrong(String.format("the shares add up to %.2f", shares), "make it 1 at the most");
        }
        List<Double> memory = copies.at("engine_memory").each(kind -> kind.bytes() / 1e6);
        return new RoutingSettings(
                router.at("number").whole(0, 0, 1_000_000),
                router.at("peers").whole(1, 1, 1_000_000),
                router.at("hall").text(""),
                span(router.at("tick"), "5 ms"),
                categories,
                accounts,
                new AttemptLimits(
                        allowances.at("legs").whole(3, 1, 100),
                        allowances.at("second_legs").flag(false),
                        allowances.at("cancel").flag(true),
                        allowances.at("probes").flag(false),
                        false,
                        allowances.at("retry_after").flag(true),
                        span(allowances.at("longest_retry_after"), "2 s"),
                        allowances.at("over_share_credit").number(1, 0, 1),
                        allowances.at("credit_by_work").flag(false),
                        dial),
                new ResponseGrace(span(rules.at("answer_grace"), "15 ms"), span(rules.at("drain_grace"), "1 s")),
                new SlowStartSettings(
                        cold.at("start_share").number(0.25, 0.001, 1),
                        span(cold.at("warm_after"), "15 s"),
                        cold.at("fall_multiple").number(2, 0.1, 1000),
                        span(cold.at("fall_after"), "1500 ms")),
                new LoadQuota(
                        ration.at("free").number(0, 0, 1e6),
                        ration.at("share").number(0, 0, 100),
                        span(ration.at("window"), "0 s")),
                new InstanceSettings(
                        span(copies.at("kept"), "10 s"),
                        copies.at("orders").flag(false),
                        copies.at("loads_on_miss").flag(true),
                        span(copies.at("order_timeout"), "10 s"),
                        copies.at("tells_warm").flag(true),
                        copies.at("tells_crowd").flag(true),
                        memory),
                new LoadReportSettings(List.of("held", "waiting", "busy", "loads", "pinned"), true),
                new DiscoverySettings(false, TimeSpan.ZERO),
                new CostModel(
                        prices.at("crossing").number(0, 0, 1),
                        prices.at("waste").number(0, 0, 1),
                        prices.at("probe").number(0, 0, 1),
                        prices.at("fetch").number(0, 0, 1),
                        prices.at("late_failure").number(0, 0, 1),
                        prices.at("idle_memory").number(0, 0, 1)));
    }

    private static RequestClass terms(String name, ConfigValue terms) {
        TimeSpan expected = span(terms.at("expected"), null);
        TimeSpan abandon = span(terms.at("abandon"), null);
        Idempotency effect = terms.at("effect").word(Idempotency.class, null);
        TimeSpan remembered = span(terms.at("remembered"), "0 s");
        if (abandon.nanos() > 0 && expected.isLongerThan(abandon)) {
            terms.at("expected").wrong("the expected time is longer than the abandon time", "make it shorter");
        }
        if (effect == Idempotency.FINGERPRINTED && remembered.nanos() == 0) {
            terms.at("remembered")
                    .wrong(
                            "a fingerprinted category says for how long repeats are dropped",
                            "write for example \"remembered: 8 s\"");
        }
        return new RequestClass(
                name,
                expected,
                abandon,
                terms.at("credit").number(1, 0, 1e9),
                terms.at("late_credit").number(0, 0, 1),
                effect,
                terms.at("group").word(DeduplicationScope.class, DeduplicationScope.ALL),
                remembered,
                false,
                terms.at("expected_stretch").number(0, 0, 1000));
    }

    private static RouterConfig.ModelTerms model(ConfigValue model, RoutingSettings facts) {
        String category = model.at("category").text(null);
        if (category != null
                && facts.requestClasses().stream().noneMatch(c -> c.name().equals(category))) {
            model.at("category")
                    .wrong(
                            "unknown category \"" + category + "\"",
                            "write one of "
                                    + String.join(
                                            ", ",
                                            facts.requestClasses().stream()
                                                    .map(RequestClass::name)
                                                    .toList()));
        }
        ConfigValue load = model.at("usual_load");
        return new RouterConfig.ModelTerms(
                model.at("name").text(),
                model.at("lanes").whole(1, 1, 100_000),
                model.at("memory").bytes() / 1e6,
                load.given() ? new TimeSpan(load.span()) : null,
                category);
    }
}
