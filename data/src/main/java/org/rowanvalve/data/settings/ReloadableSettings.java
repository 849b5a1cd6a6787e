package org.rowanvalve.data.settings;

import java.util.List;
import org.rowanvalve.common.model.LeaseTimings;

/**
 * The settings of a node that may change while it runs.
 *
 * @param timings lease times and the greatest age of a frame; only the latter changes in a running node
 * @param retryRatio extra tries for each request to a service
 * @param retrySlack extra tries beside those, in any 10 s over all nodes
 * @param drainNoticeMs how long a leaving edge still takes requests
 * @param regions cells, or the beginnings of cells, that objects are filled for apart; never empty
 * @param toleratedLosses how many voters may be lost at once; the voting set is made as large as that needs
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
