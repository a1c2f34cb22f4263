package review.kit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses and writes the JSON of the platform's calls; numbers are Double or Long. */
public final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    public static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    public static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    private Object value() {
        skip();
        char next = text.charAt(at);
        if (next == '{') return map();
        if (next == '[') return list();
        if (next == '"') return string();
        int start = at;
        while (at < text.length() && ",}] \n\t\r".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.contains(".") ? (Object) Double.valueOf(word) : Long.valueOf(word);
        };
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        skip();
        while (text.charAt(at) != '}') {
            if (text.charAt(at) == ',') at++;
            skip();
            String name = string();
            skip();
            at++;
            map.put(name, value());
            skip();
        }
        at++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        at++;
        skip();
        while (text.charAt(at) != ']') {
            if (text.charAt(at) == ',') at++;
            list.add(value());
            skip();
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            if (text.charAt(at) == '\\') at++;
            out.append(text.charAt(at++));
        }
        at++;
        return out.toString();
    }

    private void skip() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    public static String text(Object value) {
        if (value == null) return "null";
        if (value instanceof String) {
            return "\"" + ((String) value).replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
        }
        if (value instanceof Map) {
            List<String> parts = new ArrayList<>();
            ((Map<?, ?>) value).forEach((k, v) -> parts.add(text(k) + ":" + text(v)));
            return "{" + String.join(",", parts) + "}";
        }
        if (value instanceof List) {
            List<String> parts = new ArrayList<>();
            ((List<?>) value).forEach(v -> parts.add(text(v)));
            return "[" + String.join(",", parts) + "]";
        }
        return value.toString();
    }
}
