package pearladder.kserve;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A parsed KServe v2 request path.
 *
 * @param kind kind of the request
 * @param model null if the path names none
 * @param version null if the path names none
 */
public record Route(Kind kind, String model, String version) {
    /** The requests of the protocol, and {@link #UNKNOWN} for any other path. */
    public enum Kind {
        SERVER,
        LIVE,
        READY,
        MODEL,
        MODEL_READY,
        INFER,
        INDEX,
        LOAD,
        UNLOAD,
        UNKNOWN
    }

    private static final Route UNKNOWN_PATH = new Route(Kind.UNKNOWN, null, null);

    /** Parses a path without its query. */
    public static Route of(String path) {
        if (!path.startsWith("/v2")) {
            return UNKNOWN_PATH;
        }
        List<String> parts = List.of(path.substring(1).split("/"));
        if (parts.stream().anyMatch(String::isEmpty) || !parts.get(0).equals("v2")) {
            return UNKNOWN_PATH;
        }
        if (parts.size() == 1) {
            return new Route(Kind.SERVER, null, null);
        }
        return switch (parts.get(1)) {
            case "health" -> health(parts);
            case "models" -> model(parts);
            case "repository" -> repository(parts);
            default -> UNKNOWN_PATH;
        };
    }

    /** Returns whether a model's name matches a pattern: the name itself, or a prefix followed by "*". */
    public static boolean matches(String pattern, String name) {
        return pattern.endsWith("*")
                ? name.startsWith(pattern.substring(0, pattern.length() - 1))
                : name.equals(pattern);
    }

    /** Returns the function of a model's version; without a version (null or empty), the model's name. */
    public static String function(String model, String version) {
        return version == null || version.isEmpty() ? model : model + "@" + version;
    }

    private static Route health(List<String> parts) {
        if (parts.size() != 3) {
            return UNKNOWN_PATH;
        }
        return switch (parts.get(2)) {
            case "live" -> new Route(Kind.LIVE, null, null);
            case "ready" -> new Route(Kind.READY, null, null);
            default -> UNKNOWN_PATH;
        };
    }

    private static Route model(List<String> parts) {
        if (parts.size() < 3) {
            return UNKNOWN_PATH;
        }
        String name = decode(parts.get(2));
        int next = 3;
        String version = null;
        if (parts.size() >= 5 && parts.get(3).equals("versions")) {
            version = decode(parts.get(4));
            next = 5;
        }
        if (name == null || parts.size() > next + 1) {
            return UNKNOWN_PATH;
        }
        if (parts.size() == next) {
            return new Route(Kind.MODEL, name, version);
        }
        return switch (parts.get(next)) {
            case "infer" -> new Route(Kind.INFER, name, version);
            case "ready" -> new Route(Kind.MODEL_READY, name, version);
            default -> UNKNOWN_PATH;
        };
    }

    private static Route repository(List<String> parts) {
        if (parts.size() == 3 && parts.get(2).equals("index")) {
            return new Route(Kind.INDEX, null, null);
        }
        if (parts.size() != 5 || !parts.get(2).equals("models") || decode(parts.get(3)) == null) {
            return UNKNOWN_PATH;
        }
        return switch (parts.get(4)) {
            case "load" -> new Route(Kind.LOAD, decode(parts.get(3)), null);
            case "unload" -> new Route(Kind.UNLOAD, decode(parts.get(3)), null);
            default -> UNKNOWN_PATH;
        };
    }

    /** Returns null if the encoding is malformed. */
    private static String decode(String part) {
        try {
            return URLDecoder.decode(part.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException malformed) {
            return null;
        }
    }
}
