package pearladder.router.kserve;

import java.nio.file.Path;
import java.util.List;
import pearladder.config.ConfigValue;
import pearladder.config.YamlParser;
import pearladder.eventlog.RetentionSettings;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.RoutingSettings.RequestClass;
import pearladder.routing.api.TimeSpan;

/** Parses a router's configuration file and reports every mistake in it. docs/operating.md lists the keys. */
public final class RouterConfigParser {
    private static final String NAME_PATTERN = "[A-Za-z0-9._-]{1,64}";
    private static final String PORT_PATTERN = "[0-9]{1,5}";
    private static final int MAX_PORT = 65_535;

    private RouterConfigParser() {}

    /** Parses a file; throws {@link pearladder.config.ConfigErrors.ConfigException} with every mistake in it. */
    public static RouterConfig read(Path file) {
        return read(YamlParser.parse(file));
    }

    /**
     * Parses a YAML document; throws {@link pearladder.config.ConfigErrors.ConfigException} with every mistake in it.
     */
    public static RouterConfig read(ConfigValue file) {
        ConfigValue router = file.at("router");
        String name = name(router.at("name"));
        RouterConfig.Address listen = address(router.at("listen"), true);
        RouterConfig.Address discovery = address(file.at("list").at("address"), false);
        RouterConfig.Address admin = router.at("admin").isGiven() ? address(router.at("admin"), true) : null;
        TimeSpan connectTimeout = span(file.at("connections").at("dial"), "250 ms");
        RoutingSettings settings = RoutingSettingsParser.parse(file, connectTimeout);
        List<RouterConfig.ModelSettings> models = models(file.at("models"), settings);
        RouterConfig config = new RouterConfig(
                name,
                listen.host(),
                listen.port(),
                Path.of(router.at("data").text("data/" + name)),
                admin,
                file.at("releases").at("learn_from").each(peer -> address(peer, false)),
                new RouterConfig.DiscoveryService(
                        discovery.host(), discovery.port(), span(file.at("list").at("silence"), "3 s")),
                settings,
                models,
                limits(file.at("limits")),
                connections(file.at("connections"), connectTimeout),
                span(router.at("stop_within"), "10 s"),
                retention(file.at("records")));
        checkIdleTimeout(file.at("limits").at("idle"), config);
        file.requireValid();
        return config;
    }

    private static String name(ConfigValue value) {
        String name = value.text();
        if (!name.matches(NAME_PATTERN)) {
            value.addError("a name has 1 to 64 letters, digits, dots, hyphens or underscores", "change it");
        }
        return name;
    }

    private static RouterConfig.Limits limits(ConfigValue limits) {
        return new RouterConfig.Limits(
                limits.at("payload").bytes("16 MB"),
                limits.at("answer").bytes("64 MB"),
                limits.at("open_calls").wholeNumber(20_000, 1, 10_000_000),
                span(limits.at("body_within"), "10 s"),
                span(limits.at("idle"), "120 s"));
    }

    private static RouterConfig.Connections connections(ConfigValue connections, TimeSpan connectTimeout) {
        return new RouterConfig.Connections(
                connections.at("per_engine").wholeNumber(256, 1, 65_535),
                connectTimeout,
                span(connections.at("idle"), "30 s"));
    }

    private static void checkIdleTimeout(ConfigValue idle, RouterConfig config) {
        for (RequestClass requestClass : config.routingSettings().requestClasses()) {
            if (!config.limits().idleTimeout().isLongerThan(requestClass.deadline())) {
                idle.addError(
                        "the idle time of client connections is not longer than the abandon time of category "
                                + requestClass.name(),
                        "make it longer, or the connections of waiting clients are closed");
            }
        }
    }

    /** Returns null where the section is missing. */
    private static RetentionSettings retention(ConfigValue records) {
        if (!records.isGiven()) {
            return null;
        }
        RetentionSettings retention = new RetentionSettings(
                records.at("file").bytes("64 MB"),
                span(records.at("file_age"), "86400 s").toMillis(),
                records.at("all").bytes("2 GB"),
                span(records.at("kept"), "8640000 s").toMillis(),
                span(records.at("details"), "604800 s").toMillis());
        if (retention.maxBytes() < 2 * retention.segmentBytes()) {
            records.at("all")
                    .addError(
                            "the limit for all records is less than two files", "make it larger, or \"file\" smaller");
        }
        return retention;
    }

    private static RouterConfig.Address address(ConfigValue value, boolean anyPort) {
        String text = value.text();
        int colon = text.lastIndexOf(':');
        String port = colon < 0 ? "" : text.substring(colon + 1);
        if (colon < 1
                || !port.matches(PORT_PATTERN)
                || Integer.parseInt(port) > MAX_PORT
                || !anyPort && port.equals("0")) {
            value.addError(
                    "an address with its port was expected, not \"" + text + "\"",
                    "write for example \"127.0.0.1:8080\"");
            return new RouterConfig.Address("127.0.0.1", 0);
        }
        return new RouterConfig.Address(text.substring(0, colon), Integer.parseInt(port));
    }

    private static List<RouterConfig.ModelSettings> models(ConfigValue models, RoutingSettings settings) {
        List<RouterConfig.ModelSettings> parsed = models.each(model -> model(model, settings));
        if (parsed.isEmpty()) {
            models.addError("no model is named", "write \"- {name: \\\"*\\\", memory: 400 MB, lanes: 2}\"");
        }
        return parsed;
    }

    private static RouterConfig.ModelSettings model(ConfigValue model, RoutingSettings settings) {
        String requestClass = model.at("category").text(null);
        List<String> known =
                settings.requestClasses().stream().map(RequestClass::name).toList();
        if (requestClass != null && !known.contains(requestClass)) {
            model.at("category")
                    .addError("unknown category \"" + requestClass + "\"", "write one of " + String.join(", ", known));
        }
        ConfigValue typicalLoadTime = model.at("usual_load");
        return new RouterConfig.ModelSettings(
                model.at("name").text(),
                model.at("lanes").wholeNumber(1, 1, 100_000),
                model.at("memory").bytes() / 1e6,
                typicalLoadTime.isGiven() ? new TimeSpan(typicalLoadTime.durationNanos()) : null,
                requestClass);
    }

    private static TimeSpan span(ConfigValue value, String defaultSpan) {
        return new TimeSpan(value.durationNanos(defaultSpan));
    }
}
