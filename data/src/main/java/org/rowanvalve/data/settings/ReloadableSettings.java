package org.rowanvalve.data.settings;

import java.util.List;
import org.rowanvalve.common.model.LeaseTimings;

/**
 * The settings of a node that may change while it runs.
 *
 * @param timings lease timings and the maximum age of a view; only the maximum age may change in a running node
 * @param retryRatio permitted retries as a fraction of the requests to a service
 * @param retrySlack number of retries permitted in addition to that fraction, in any 10 s over all nodes
 * @param drainNoticeMs how long a draining edge still accepts requests
 * @param regions cells, or prefixes of cells, for which objects are filled separately; never empty
 * @param toleratedLosses how many voters may fail at once; the voting set is made large enough to tolerate this number
 */
public record ReloadableSettings(
        LeaseTimings timings,
        double retryRatio,
        double retrySlack,
        long drainNoticeMs,
        List<String> regions,
        int toleratedLosses) {
    private static final List<String> SINGLE_REGION = List.of("");

    public ReloadableSettings {
        regions = regions.isEmpty() ? SINGLE_REGION : List.copyOf(regions);
    }
}
