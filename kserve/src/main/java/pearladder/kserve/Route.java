package pearladder.kserve;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** What a request path of KServe v2 asks for; model and version are null where the path names none. */
public record Route(Kind kind, String model, String version) {
    /** The published requests, and one kind for all that is none of them. */
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

    private static final Route NONE = new Route(Kind.UNKNOWN, null, null);

    /** Reads a path without its query; anything that is not published is {@link Kind#UNKNOWN}. */
    public static Route of(String path) {
        if (!path.startsWith("/v2")) {
            return NONE;
        }
        List<String> parts = List.of(path.substring(1).split("/"));
        if (parts.stream().anyMatch(String::isEmpty) || !parts.get(0).equals("v2")) {
            return NONE;
        }
        if (parts.size() == 1) {
            return new Route(Kind.SERVER, null, null);
        }
        return switch (parts.get(1)) {
            case "health" -> parts.size() != 3
                    ? NONE
                    : switch (parts.get(2)) {
                        case "live" -> new Route(Kind.LIVE, null, null);
                        case "ready" -> new Route(Kind.READY, null, null);
                        default -> NONE;
                    };
            case "models" -> model(parts);
            case "repository" -> repository(parts);
            default -> NONE;
        };
    }

    /** Whether a model's name is that of a pattern: the name itself, or its beginning with "*" behind it. */
    public static boolean matches(String pattern, String name) {
        return pattern.endsWith("*")
                ? name.startsWith(pattern.substring(0, pattern.length() - 1))
                : name.equals(pattern);
    }

    /** A version of a model is a function of its own; a version that is null or empty is the model itself. */
    public static String function(String model, String version) {
        return version == null || version.isEmpty() ? model : model + "@" + version;
    }

    private static Route model(List<String> parts) {
        if (parts.size() < 3) {
            return NONE;
        }
        String name = decoded(parts.get(2));
        int at = 3;
        String version = null;
        if (parts.size() >= 5 && parts.get(3).equals("versions")) {
            version = decoded(parts.get(4));
            at = 5;
        }
        if (name == null || parts.size() > at + 1) {
            return NONE;
        }
        if (parts.size() == at) {
            return new Route(Kind.MODEL, name, version);
        }
        return switch (parts.get(at)) {
            case "infer" -> new Route(Kind.INFER, name, version);
            case "ready" -> new Route(Kind.MODEL_READY, name, version);
            default -> NONE;
        };
    }

    private static Route repository(List<String> parts) {
        if (parts.size() == 3 && parts.get(2).equals("index")) {
            return new Route(Kind.INDEX, null, null);
        }
        if (parts.size() != 5 || !parts.get(2).equals("models") || decoded(parts.get(3)) == null) {
            return NONE;
        }
        return switch (parts.get(4)) {
            case "load" -> new Route(Kind.LOAD, decoded(parts.get(3)), null);
            case "unload" -> new Route(Kind.UNLOAD, decoded(parts.get(3)), null);
            default -> NONE;
        };
    }

    private static String decoded(String part) {
        try {
            return URLDecoder.decode(part.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException malformed) {
            return null;
        }
    }
}
