package io.laburnummoor.gateway.process;

import java.util.List;
import java.util.Map;

import io.laburnummoor.gateway.process.RequestTimeline.Event;

/** Renders the timeline of a request as a self-contained HTML page. */
final class TimelinePage {
    private static final String HEAD =
            """
            <!DOCTYPE html>
            <html lang="en">
            <head>
            <meta charset="utf-8">
            <title>Request %1$s</title>
            <style>
            body { font: 14px/1.4 sans-serif; margin: 2em; }
            table { border-collapse: collapse; width: 100%%; }
            td, th { padding: 0.2em 0.6em; text-align: left; vertical-align: top; }
            tr:nth-child(even) { background: #f3f5f7; }
            .time { text-align: right; white-space: nowrap; }
            .line { width: 30%%; }
            .bar { background: #c5d3e0; height: 0.9em; margin-top: 0.25em; border-right: 4px solid #1f5f99; }
            .age { color: #99501f; }
            </style>
            </head>
            <body>
            <h1>Request %1$s</h1>
            <p>%2$d events of %3$d processes in %4$d ms. Ages of the data that a process used are highlighted.</p>
            <table>
            <tr><th>ms</th><th class="line">timeline</th><th>process</th><th>event</th><th>fields</th></tr>
            """;
    private static final String ROW =
            """
            <tr><td class="time">%+d</td><td class="line"><div class="bar" style="width: %d%%"></div></td>\
            <td>%s</td><td>%s</td><td>%s</td></tr>
            """;
    private static final String FOOT = """
            </table>
            </body>
            </html>
            """;
    private static final String AGE_SUFFIX = "age_ms";
    private static final int FULL_PERCENT = 100;

    private TimelinePage() {}

    /** Returns the HTML source of the page. */
    static String of(RequestTimeline timeline) {
        List<Event> events = timeline.events();
        long length = events.isEmpty() ? 0 : events.get(events.size() - 1).sinceStartMillis();
        long processes = events.stream().map(Event::process).distinct().count();
        StringBuilder page =
                new StringBuilder(HEAD.formatted(escape(timeline.requestId()), events.size(), processes, length));
        for (Event each : events) {
            long percent = length == 0 ? 0 : each.sinceStartMillis() * FULL_PERCENT / length;
            page.append(ROW.formatted(
                    each.sinceStartMillis(), percent, escape(each.process()), escape(each.name()), fields(each)));
        }
        return page.append(FOOT).toString();
    }

    private static String fields(Event event) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, String> field : event.fields().entrySet()) {
            String shown = escape(field.getKey() + "=" + field.getValue());
            text.append(field.getKey().endsWith(AGE_SUFFIX) ? "<span class=\"age\">" + shown + "</span>" : shown)
                    .append(' ');
        }
        return text.toString().trim();
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
