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
 * Reloads the options after SIGHUP or a change of their file. The new options are validated as a whole; after an error the
 * earlier options stay in force. Reloading has its own thread, because reading a file may block.
 */
final class OptionWatcher {
    /** How often the file is checked without a signal. */
    private static final long CHECK_INTERVAL_MS = 2000;

    private final OptionSource source;
    private final EventJournal journal;
    private final List<OptionsListener> listeners = new CopyOnWriteArrayList<>();
    private final Options started;
    private volatile Options current;
    private OptionSource.Stamp read;
    private OptionSource.Stamp seen;

    /** Receives the options in force: once when the listener is added, then after each change in the watcher's thread. */
    @FunctionalInterface
    interface OptionsListener {
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

    /** Returns the options last read without an error. Those that are not reloadable take effect at the next start. */
    Options current() {
        return current;
    }

    synchronized void listen(final OptionsListener listener) {
        listeners.add(listener);
        listener.changed(current);
    }

    private void run() {
        try {
            while (true) {
                final boolean signalled = HangupSignal.await(CHECK_INTERVAL_MS);
                ThreadGuard.run(signalled ? this::reload : this::checkFile);
            }
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reloads a changed file once two successive checks have found the same state, so that no partly written file is read. */
    void checkFile() {
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
        final List<String> applied = OptionChange.between(current, next).applied();
        if (!needsStart.isEmpty()) {
            journal.add(Event.of(EventCode.RELOAD_NEEDS_START, "options", String.join(", ", needsStart)));
        }
        journal.add(Event.of(EventCode.RELOADED, "changed", applied.isEmpty() ? "none" : String.join(", ", applied)));
        if (applied.contains("wanted-losses") && !next.voterShortage().isEmpty()) {
            journal.add(Event.of(EventCode.SHORTAGE, "why", next.voterShortage()));
        }
        current = next;
        if (!applied.isEmpty()) {
            listeners.forEach(listener -> listener.changed(next));
        }
    }
}
