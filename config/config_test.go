package config_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"sycamorespread.dev/admit"
	"sycamorespread.dev/config"
)

const validSettings = `[daemon]
id = plots-0
region = dk-east
zone = dk-east-a
addr = 127.0.1.1:7100
http = 127.0.1.1:7101
peers = 127.0.1.2:7100, 127.0.1.3:7100

[server]
service = plots
addr = 127.0.1.1:7102
slots = 60
connections = 450
`

func TestValidSettings(t *testing.T) {
	convey.Convey("Valid settings are read, with defaults", t, func() {
		cfg, err := config.Parse("sycd.ini", []byte(validSettings))
		convey.So(err, convey.ShouldBeNil)
		convey.So(cfg.Slots, convey.ShouldEqual, 60)
		convey.So(len(cfg.Peers), convey.ShouldEqual, 2)
		convey.So(cfg.Advertise, convey.ShouldEqual, cfg.Addr)
		convey.So(cfg.ProbeInterval, convey.ShouldEqual, time.Second)
		convey.So(cfg.Mode, convey.ShouldEqual, admit.Full)
		convey.So(cfg.PlatformAddr.IsValid(), convey.ShouldBeFalse)
	})
}

func TestInvalidSettings(t *testing.T) {
	convey.Convey("An invalid setting is reported with section and key", t, func() {
		for _, c := range []struct{ old, next, section, key string }{
			{"id = plots-0\n", "", "daemon", "id"},
			{"id = plots-0", "id = plots-0\nid = plots-1", "daemon", "id"},
			{"addr = 127.0.1.1:7100", "addr = localhost:7100", "daemon", "addr"},
			{"127.0.1.3:7100", "127.0.1.3", "daemon", "peers"},
			{"[server]", "log_level = loud\n[server]", "daemon", "log_level"},
			{"[server]", "probe = 1h\n[server]", "daemon", "probe"},
			{"[server]", "zon = x\n[server]", "daemon", "zon"},
			{"slots = 60", "slots = many", "server", "slots"},
			{"slots = 60", "slots = 0", "server", "slots"},
			{"slots = 60", "slots = 6x", "server", "slots"},
			{"connections = 450", "connections = 10", "server", "connections"},
			{"connections = 450\n", "", "server", "connections"},
			{"[server]", "[control]\nmode = wild\n[server]", "control", "mode"},
			{"[server]", "[contrl]\n[server]", "contrl", ""},
			{"[daemon]", "id = x\n[daemon]", "DEFAULT", "id"},
		} {
			_, err := config.Parse("sycd.ini", []byte(strings.Replace(validSettings, c.old, c.next, 1)))
			var settingsErr *config.Error
			convey.So(errors.As(err, &settingsErr), convey.ShouldBeTrue)
			convey.So(settingsErr.File, convey.ShouldEqual, "sycd.ini")
			convey.So(settingsErr.Section, convey.ShouldEqual, c.section)
			convey.So(settingsErr.Key, convey.ShouldEqual, c.key)
		}
	})
	convey.Convey("A file that does not exist is reported too", t, func() {
		_, err := config.Load("no such file")
		var settingsErr *config.Error
		convey.So(errors.As(err, &settingsErr), convey.ShouldBeTrue)
	})
}
