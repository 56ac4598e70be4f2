/** Metrics, health and readiness of a node, and the set-up of its log. */
package org.fallturn.node.metrics;
