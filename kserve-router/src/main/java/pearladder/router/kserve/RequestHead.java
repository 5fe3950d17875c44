package pearladder.router.kserve;

import io.vertx.core.MultiMap;
import pearladder.kserve.Headers;
import pearladder.kserve.Route;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;

/**
 * The path and the headers of an inference request, checked against the router's configuration.
 *
 * @param route the path, with model and version
 * @param modelSettings the settings of the model
 * @param requestClass the request class that the request names, or the default one
 * @param tenant the tenant, or null where tenants are not distinguished
 * @param idempotencyKey the idempotency key, or null
 * @param timeout the time that the client waits
 * @param workEstimate the client's estimate of the work, or null
 */
record RequestHead(
        Route route,
        RouterConfig.ModelSettings modelSettings,
        RoutingSettings.RequestClass requestClass,
        String tenant,
        String idempotencyKey,
        TimeSpan timeout,
        TimeSpan workEstimate) {
    /** Pattern of model names, versions and request ids. */
    private static final String NAME_PATTERN = "[A-Za-z0-9._:-]{1,128}";

    private static final String MILLIS_PATTERN = "[0-9]{1,9}(\\.[0-9]{1,6})?";
    private static final String LENGTH_PATTERN = "[0-9]{1,18}";
    private static final int MAX_QUOTED_LENGTH = 64;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONTENT_TOO_LARGE = 413;

    /** Parses path and headers in the order of the record's components, then checks the length of the body. */
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
            throw invalidMillis(Headers.TIMEOUT_MS);
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

    /** Returns the settings of a model. */
    static RouterConfig.ModelSettings modelSettings(String model, RouterConfig config) throws RequestRefusedException {
        RouterConfig.ModelSettings settings = isName(model) ? config.modelSettings(model) : null;
        if (settings == null) {
            throw new RequestRefusedException(NOT_FOUND, "unknown model " + quote(model));
        }
        return settings;
    }

    private static void checkVersion(String version) throws RequestRefusedException {
        if (version != null && !isName(version)) {
            throw new RequestRefusedException(NOT_FOUND, "unknown version " + quote(version));
        }
    }

    private static RoutingSettings.RequestClass requestClass(
            String requestClassName, RouterConfig.ModelSettings modelSettings, RouterConfig config)
            throws RequestRefusedException {
        String name = requestClassName != null
                ? requestClassName
                : defaultRequestClass(modelSettings, config.routingSettings());
        if (name == null) {
            throw new RequestRefusedException(BAD_REQUEST, "the header " + Headers.REQUEST_CLASS + " is missing");
        }
        RoutingSettings.RequestClass requestClass = config.requestClass(name);
        if (requestClass == null) {
            throw new RequestRefusedException(BAD_REQUEST, Headers.REQUEST_CLASS + ": unknown category " + quote(name));
        }
        return requestClass;
    }

    /** Returns the model's request class, or the only configured one; null where there is neither. */
    private static String defaultRequestClass(RouterConfig.ModelSettings modelSettings, RoutingSettings settings) {
        if (modelSettings.requestClass() != null) {
            return modelSettings.requestClass();
        }
        return settings.requestClasses().size() == 1
                ? settings.requestClasses().get(0).name()
                : null;
    }

    private static String tenant(String tenantName, RoutingSettings settings) throws RequestRefusedException {
        if (settings.tenants().isEmpty()) {
            return null;
        }
        if (settings.tenants().stream().noneMatch(tenant -> tenant.name().equals(tenantName))) {
            throw new RequestRefusedException(
                    BAD_REQUEST,
                    tenantName == null
                            ? "the header " + Headers.TENANT + " is missing"
                            : Headers.TENANT + ": unknown account " + quote(tenantName));
        }
        return tenantName;
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
            throw invalidMillis(header);
        }
        return TimeSpan.seconds(Double.parseDouble(text) / 1e3);
    }

    private static RequestRefusedException invalidMillis(String header) {
        return new RequestRefusedException(BAD_REQUEST, header + ": a number of milliseconds was expected");
    }

    private static void checkLength(String contentLength, long maxBytes) throws RequestRefusedException {
        boolean lengthKnown = contentLength != null && contentLength.matches(LENGTH_PATTERN);
        if (lengthKnown && Long.parseLong(contentLength) > maxBytes) {
            throw bodyTooLong(maxBytes);
        }
    }

    static RequestRefusedException bodyTooLong(long maxBytes) {
        return new RequestRefusedException(CONTENT_TOO_LARGE, "a body has " + maxBytes + " bytes at the most");
    }

    /** Returns whether a text is valid as a model name, a version or a request id. */
    static boolean isName(String text) {
        return text.matches(NAME_PATTERN);
    }

    /** Quotes a client's text for an error message, truncated and with special characters replaced. */
    private static String quote(String text) {
        String plain = text.replaceAll("[^A-Za-z0-9._:@/-]", "?");
        boolean fits = plain.length() <= MAX_QUOTED_LENGTH;
        return "\"" + (fits ? plain : plain.substring(0, MAX_QUOTED_LENGTH) + "...") + "\"";
    }
}
