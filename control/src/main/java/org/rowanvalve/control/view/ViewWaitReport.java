package org.rowanvalve.control.view;

import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.control.store.ItemStore;

/** Reports the requests and received items of a node while its view is not confirmed. */
final class ViewWaitReport {
    private static final long REPORT_INTERVAL_MS = 2000;
    private final EventLoop loop;
    private final EventJournal journal;
    private final ItemStore items;
    private long lastReportAt;
    private long queries;
    private long openQueries;
    private long receivedItems;

    ViewWaitReport(final EventLoop loop, final EventJournal journal, final ItemStore items) {
        this.loop = loop;
        this.journal = journal;
        this.items = items;
    }

    void onQuery() {
        queries++;
        openQueries++;
    }

    void onAnswer() {
        openQueries--;
    }

    void onItems(final int count) {
        receivedItems += count;
    }

    /** Called periodically; {@code fresh}: whether the view is confirmed. */
    void onTick(final boolean fresh) {
        if (fresh || lastReportAt == 0) {
            lastReportAt = loop.now();
        }
        if (loop.now() - lastReportAt >= REPORT_INTERVAL_MS) {
            journal.add(Event.of(
                    EventCode.VIEW_WAITING,
                    "items",
                    items.all().size(),
                    "queries",
                    queries,
                    "open",
                    openQueries,
                    "received",
                    receivedItems));
            lastReportAt = loop.now();
        }
        if (lastReportAt == loop.now()) {
            queries = 0;
            receivedItems = 0;
        }
    }
}
