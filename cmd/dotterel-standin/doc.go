// Command dotterel-standin runs the test doubles of the platform and of the database servers, called stand-ins.
package main
