package pearladder.router.kserve;

import io.vertx.core.MultiMap;
import pearladder.kserve.Headers;
import pearladder.kserve.Route;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;

/**
 * The path and the headers of an inference request, checked against the router's configuration.
 *
 * @param route with model and version
 * @param modelSettings of its model
 * @param requestClass that it names, or its model's
 * @param tenant null where tenants are not distinguished
 * @param idempotencyKey or null
 * @param timeout how long the client waits
 * @param workEstimate the client's estimate, or null
 */
record RequestHead(
        Route route,
        RouterConfig.ModelSettings modelSettings,
        RoutingSettings.RequestClass requestClass,
        String tenant,
        String idempotencyKey,
        TimeSpan timeout,
        TimeSpan workEstimate) {
    /** Of models, versions and request ids. */
    private static final String NAME_PATTERN = "[A-Za-z0-9._:-]{1,128}";

    private static final String MILLIS_PATTERN = "[0-9]{1,9}(\\.[0-9]{1,6})?";
    private static final String LENGTH_PATTERN = "[0-9]{1,18}";
    private static final int MAX_QUOTED_LENGTH = 64;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONTENT_TOO_LARGE = 413;

    /** Checks path and headers in the order of the parameters above, then the length of the body. */
    static RequestHead parse(Route route, MultiMap headers, RouterConfig config) throws RequestRefusedException {
        RouterConfig.ModelSettings modelSettings = modelSettings(route.model(), config);
        checkVersion(route.version());
        RoutingSettings.RequestClass requestClass =
                requestClass(headers.get(Headers.REQUEST_CLASS), modelSettings, config);
        String tenant = tenant(headers.get(Headers.TENANT), config.routingSettings());
        String idempotencyKey = headers.get(Headers.IDEMPOTENCY_KEY);
        checkIdempotencyKey(idempotencyKey, requestClass);
        TimeSpan timeout = millis(headers, Headers.TIMEOUT_MS, requestClass.deadline());
        if (timeout.nanos() <= 0) {
            throw notMillis(Headers.TIMEOUT_MS);
        }
        TimeSpan workEstimate = millis(headers, Headers.WORK_ESTIMATE_MS, TimeSpan.ZERO);
        checkLength(headers.get("content-length"), config.limits().maxRequestBytes());
        return new RequestHead(
                route,
                modelSettings,
                requestClass,
                tenant,
                idempotencyKey,
                timeout,
                workEstimate.nanos() == 0 ? null : workEstimate);
    }

    /** The settings of a model. */
    static RouterConfig.ModelSettings modelSettings(String model, RouterConfig config) throws RequestRefusedException {
        RouterConfig.ModelSettings settings = isName(model) ? config.modelSettings(model) : null;
        if (settings == null) {
            throw new RequestRefusedException(NOT_FOUND, "unknown model " + quoted(model));
        }
        return settings;
    }

    private static void checkVersion(String version) throws RequestRefusedException {
        if (version != null && !isName(version)) {
            throw new RequestRefusedException(NOT_FOUND, "unknown version " + quoted(version));
        }
    }

    private static RoutingSettings.RequestClass requestClass(
            String named, RouterConfig.ModelSettings modelSettings, RouterConfig config)
            throws RequestRefusedException {
        String name = named != null ? named : defaultRequestClass(modelSettings, config.routingSettings());
        if (name == null) {
            throw new RequestRefusedException(BAD_REQUEST, "the header " + Headers.REQUEST_CLASS + " is missing");
        }
        RoutingSettings.RequestClass requestClass = config.requestClass(name);
        if (requestClass == null) {
            throw new RequestRefusedException(
                    BAD_REQUEST, Headers.REQUEST_CLASS + ": unknown category " + quoted(name));
        }
        return requestClass;
    }

    /** The model's, or the only one that is configured; null where there is neither. */
    private static String defaultRequestClass(RouterConfig.ModelSettings modelSettings, RoutingSettings settings) {
        if (modelSettings.requestClass() != null) {
            return modelSettings.requestClass();
        }
        return settings.requestClasses().size() == 1
                ? settings.requestClasses().get(0).name()
                : null;
    }

    private static String tenant(String named, RoutingSettings settings) throws RequestRefusedException {
        if (settings.tenants().isEmpty()) {
            return null;
        }
        if (settings.tenants().stream().noneMatch(tenant -> tenant.name().equals(named))) {
            throw new RequestRefusedException(
                    BAD_REQUEST,
                    named == null
                            ? "the header " + Headers.TENANT + " is missing"
                            : Headers.TENANT + ": unknown account " + quoted(named));
        }
        return named;
    }

    private static void checkIdempotencyKey(String key, RoutingSettings.RequestClass requestClass)
            throws RequestRefusedException {
        boolean required = requestClass.idempotency() == RoutingSettings.Idempotency.FINGERPRINTED;
        if (required && (key == null || key.isBlank())) {
            throw new RequestRefusedException(
                    BAD_REQUEST,
                    "a call of category " + requestClass.name() + " needs the header " + Headers.IDEMPOTENCY_KEY);
        }
    }

    private static TimeSpan millis(MultiMap headers, String header, TimeSpan defaultSpan)
            throws RequestRefusedException {
        String text = headers.get(header);
        if (text == null) {
            return defaultSpan;
        }
        if (!text.matches(MILLIS_PATTERN)) {
            throw notMillis(header);
        }
        return TimeSpan.seconds(Double.parseDouble(text) / 1e3);
    }

    private static RequestRefusedException notMillis(String header) {
        return new RequestRefusedException(BAD_REQUEST, header + ": a number of milliseconds was expected");
    }

    private static void checkLength(String contentLength, long maxBytes) throws RequestRefusedException {
        boolean known = contentLength != null && contentLength.matches(LENGTH_PATTERN);
        if (known && Long.parseLong(contentLength) > maxBytes) {
            throw bodyTooLong(maxBytes);
        }
    }

    static RequestRefusedException bodyTooLong(long maxBytes) {
        return new RequestRefusedException(CONTENT_TOO_LARGE, "a body has " + maxBytes + " bytes at the most");
    }

    /** Whether a text may be the name of a model or a version, or a request's id. */
    static boolean isName(String text) {
        return text.matches(NAME_PATTERN);
    }

    /** A client's own text, cut short and without special characters, for a message that goes back to it. */
    private static String quoted(String text) {
        String plain = text.replaceAll("[^A-Za-z0-9._:@/-]", "?");
        boolean fits = plain.length() <= MAX_QUOTED_LENGTH;
        return "\"" + (fits ? plain : plain.substring(0, MAX_QUOTED_LENGTH) + "...") + "\"";
    }
}
