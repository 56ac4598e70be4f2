/** Metrics, liveness and readiness of a node, and the configuration of its log. */
package org.fallturn.node.metrics;
