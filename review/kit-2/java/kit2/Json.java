package kit2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON parser and writer for the stand-ins. */
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

    public static String quote(String s) {
        return "\"" + s.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + "\"";
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') return map();
        if (c == '[') return list();
        if (c == '"') return string();
        int from = at;
        while (at < text.length() && ",]} \n\t\r".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(from, at);
        if (word.equals("true")) return true;
        if (word.equals("false")) return false;
        if (word.equals("null")) return null;
        return word.contains(".") || word.contains("e") ? (Object) Double.valueOf(word) : (Object) Long.valueOf(word);
    }

    private Map<String, Object> map() {
        Map<String, Object> out = new LinkedHashMap<>();
        at++;
        for (space(); text.charAt(at) != '}'; space()) {
            if (text.charAt(at) == ',') at++;
            space();
            String key = string();
            space();
            at++;
            out.put(key, value());
        }
        at++;
        return out;
    }

    private List<Object> list() {
        List<Object> out = new ArrayList<>();
        at++;
        for (space(); text.charAt(at) != ']'; space()) {
            if (text.charAt(at) == ',') at++;
            out.add(value());
        }
        at++;
        return out;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            char c = text.charAt(at);
            if (c == '\\') {
                c = text.charAt(++at);
                if (c == 'n') c = '\n';
                if (c == 't') c = '\t';
                if (c == 'r') c = '\r';
                if (c == 'u') {
                    c = (char) Integer.parseInt(text.substring(at + 1, at + 5), 16);
                    at += 4;
                }
            }
            out.append(c);
        }
        at++;
        return out.toString();
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }
}
