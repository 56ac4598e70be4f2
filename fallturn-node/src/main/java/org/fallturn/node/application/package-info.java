/** Client of the application back ends: choice of a back end and forwarding of one request. */
package org.fallturn.node.application;
