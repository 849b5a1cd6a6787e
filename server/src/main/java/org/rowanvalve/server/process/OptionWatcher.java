package org.rowanvalve.server.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.server.options.OptionChange;
import org.rowanvalve.server.options.OptionSource;
import org.rowanvalve.server.options.Options;
import org.rowanvalve.server.thread.ThreadGuard;

/**
 * Reads the options again after SIGHUP, or once their file has changed. They are checked as a whole; with an error the
 * earlier ones stay in force. A thread of its own does this, as reading a file may take time.
 */
final class OptionWatcher {
    /** How often the file is checked without a signal. */
    private static final long LOOK_MS = 2000;

    private final OptionSource source;
    private final EventJournal journal;
    private final List<SettingsListener> listeners = new CopyOnWriteArrayList<>();
    private final Options started;
    private volatile Options current;
    private OptionSource.Stamp read;
    private OptionSource.Stamp seen;

    /** Receives options that are now in force; called in the watcher's thread, and once when it is added. */
    @FunctionalInterface
    interface SettingsListener {
        void changed(Options now);
    }

    OptionWatcher(final OptionSource source, final Options first, final EventJournal journal) {
        this.source = source;
        this.started = first;
        this.current = first;
        this.journal = journal;
        this.read = source.stamp();
        this.seen = read;
    }

    void start() {
        final Thread thread = new Thread(this::run, "settings");
        thread.setDaemon(true);
        thread.start();
    }

    /** The options last read without an error; only the reloadable ones are in force before the next start. */
    Options current() {
        return current;
    }

    synchronized void listen(final SettingsListener listener) {
        listeners.add(listener);
        listener.changed(current);
    }

    private void run() {
        try {
            while (true) {
                final boolean asked = HangupSignal.await(LOOK_MS);
                ThreadGuard.run(asked ? this::reload : this::look);
            }
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A change counts once two looks found the same, so that no file is read while it is being written. */
    void look() {
        final OptionSource.Stamp now = source.stamp();
        final boolean settled = now.equals(seen);
        seen = now;
        if (settled && !now.equals(read)) {
            reload();
        }
    }

    synchronized void reload() {
        read = source.stamp();
        final List<ValidationError> faults = new ArrayList<>();
        final Options next = source.read(faults);
        if (!faults.isEmpty()) {
            journal.add(Event.of(
                    EventCode.RELOAD_REJECTED,
                    "faults",
                    faults.stream().map(ValidationError::toString).collect(Collectors.joining("; "))));
            return;
        }
        final List<String> needsStart = OptionChange.between(started, next).needsStart();
        final List<String> taken = OptionChange.between(current, next).applied();
        if (!needsStart.isEmpty()) {
            journal.add(Event.of(EventCode.RELOAD_NEEDS_START, "options", String.join(", ", needsStart)));
        }
        journal.add(Event.of(EventCode.RELOADED, "changed", taken.isEmpty() ? "none" : String.join(", ", taken)));
        if (taken.contains("wanted-losses") && !next.voterShortage().isEmpty()) {
            journal.add(Event.of(EventCode.SHORTAGE, "why", next.voterShortage()));
        }
        current = next;
        if (!taken.isEmpty()) {
            listeners.forEach(l -> l.changed(next));
        }
    }
}
