package pearladder.testbed;

import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Base64;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.internal.chartpart.Chart;

/** A self-contained HTML page: charts are embedded as images, and no external resources are loaded. */
final class HtmlPage {
    private static final String STYLE = "body{font:15px/1.45 sans-serif;max-width:1140px;margin:2em auto;padding:0 1em}"
            + "table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .7em;border-bottom:1px solid #ccc;"
            + "text-align:right}td:first-child,th:first-child{text-align:left}img{max-width:100%}"
            + "pre{font-size:12px;overflow-x:auto}.broken{color:#b00;font-weight:bold}";

    private final StringBuilder html = new StringBuilder();

    private HtmlPage() {}

    /** Returns a page with a title as its heading and no style sheet. */
    static HtmlPage plain(String title) {
        return new HtmlPage().head(title, "");
    }

    /** Returns a page with a title as its heading and the style sheet of reports. */
    static HtmlPage styled(String title) {
        return new HtmlPage().head(title, "<style>" + STYLE + "</style>");
    }

    private HtmlPage head(String title, String style) {
        return markup("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>")
                .text(title)
                .markup("</title>")
                .markup(style)
                .markup("<h1>")
                .text(title)
                .markup("</h1>");
    }

    /** Appends HTML without escaping it. */
    HtmlPage markup(String markup) {
        html.append(markup);
        return this;
    }

    /** Appends text, escaped. */
    HtmlPage text(String text) {
        html.append(escaped(text));
        return this;
    }

    /** Appends a chart as an image. */
    HtmlPage chart(Chart<?, ?> chart) throws IOException {
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        ByteArrayOutputStream image = new ByteArrayOutputStream();
        BitmapEncoder.saveBitmap(chart, image, BitmapEncoder.BitmapFormat.PNG);
        return markup("<p><img alt=\"")
                .text(chart.getTitle())
                .markup("\" src=\"data:image/png;base64,")
                .markup(Base64.getEncoder().encodeToString(image.toByteArray()))
                .markup("\">");
    }

    /** Ends the page and returns its HTML. */
    String end() {
        return markup("</html>\n").html.toString();
    }

    static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
